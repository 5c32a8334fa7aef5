"""A time before all others."""

from datetime import timedelta

# Unlike the least timedelta, it can be subtracted from any time that occurs.
NEVER = timedelta(days=-1_000_000)

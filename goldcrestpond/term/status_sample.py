"""A database status with the times of the poll that returned it."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.database_status import DatabaseStatus


@dataclass(frozen=True, slots=True)
class StatusSample:
    """A database's status as returned by one poll of this process.

    Attributes
    ----------
    status : DatabaseStatus
        Status that the database reported.
    sent_at : timedelta
        Monotonic time before the poll was sent; the status is not older.
    received_at : timedelta
        Monotonic time after the answer arrived.
    """

    status: DatabaseStatus
    sent_at: timedelta
    received_at: timedelta

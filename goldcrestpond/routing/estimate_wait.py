"""Estimate of how long a request waits before a database runs it."""

from datetime import timedelta

from .database_load import DatabaseLoad

CONNECT_MS = 10.0  # opening a connection takes several round trips and a login
OTHER_AVAILABILITY_ZONE_MS = 1.0  # one round trip between availability zones


def estimate_wait(load: DatabaseLoad, *, is_same_availability_zone: bool) -> timedelta:
    """Return the expected time from now until a statement starts on a database.

    Parameters
    ----------
    load : DatabaseLoad
        Load of the database.
    is_same_availability_zone : bool
        Whether the database is in the availability zone of this instance.
    """
    ahead_count = load.running + load.queued + 1 - load.slots
    wait_ms = max(0, ahead_count) * load.service_ms / load.slots
    if load.opening_ms is not None:
        wait_ms += load.opening_ms
    elif not load.idle_connections:
        wait_ms += CONNECT_MS
    if not is_same_availability_zone:
        wait_ms += OTHER_AVAILABILITY_ZONE_MS
    return timedelta(milliseconds=wait_ms)

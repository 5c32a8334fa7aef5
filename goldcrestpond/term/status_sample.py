"""One answer to a status poll, with the times of the poll."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.database_status import DatabaseStatus


@dataclass(frozen=True, slots=True)
class StatusSample:
    """A database's status as seen by one poll of this process.

    Attributes
    ----------
    status : DatabaseStatus
        What the database said of itself.
    sent_at : timedelta
        Monotonic reading before the poll was sent; the status is no older.
    received_at : timedelta
        Monotonic reading after the answer arrived.
    """

    status: DatabaseStatus
    sent_at: timedelta
    received_at: timedelta

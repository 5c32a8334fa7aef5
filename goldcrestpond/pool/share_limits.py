"""Limits of a database that its instances share."""

from dataclasses import dataclass

# Maximum number of instances that keep connections to one database.
_MAX_HOLDERS = 10
# One connection for statuses, one for requests and, if there are enough, one for
# probes.
_MIN_FLOOR = 2
_MAX_FLOOR = 3


@dataclass(frozen=True, slots=True)
class ShareLimits:
    """Limits of one database, for all instances together.

    Attributes
    ----------
    connection_limit : int
        Number of connections that the database accepts.
    report_slot_limit : int
        Number of reports that may run on it at once.
    """

    connection_limit: int
    report_slot_limit: int

    @property
    def floor(self) -> int:
        """Number of connections that each holder may keep without a lease."""
        part = self.connection_limit // _MAX_HOLDERS
        return min(self.connection_limit, max(_MIN_FLOOR, min(_MAX_FLOOR, part)))

"""What the instances share of one database."""

from dataclasses import dataclass

# At most so many instances hold connections to one database.
_HOLDERS_MAX = 10
# One connection for statuses, one to lend and, if there are enough, one to
# probe with.
_FLOOR_MIN = 2
_FLOOR_MAX = 3


@dataclass(frozen=True, slots=True)
class ShareLimits:
    """Limits of one database over all instances.

    Attributes
    ----------
    connection_limit : int
        Connections that it takes.
    report_slot_limit : int
        Reports that may run on it at once.
    """

    connection_limit: int
    report_slot_limit: int

    @property
    def floor(self) -> int:
        """Connections that each holder keeps without a lease."""
        part = self.connection_limit // _HOLDERS_MAX
        return min(self.connection_limit, max(_FLOOR_MIN, min(_FLOOR_MAX, part)))

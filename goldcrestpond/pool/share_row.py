"""The table's row that divides a database's connections."""

import msgspec

from .share_entry import ShareEntry


class ShareRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shares of one database by instance; their sum is within the limit.

    Attributes
    ----------
    entries : dict of str to ShareEntry
        Entries by name of the instance.
    """

    entries: dict[str, ShareEntry] = {}

    def free_connections(self, limit: int) -> int:
        """Return how many connections nobody holds."""
        return limit - sum(entry.share for entry in self.entries.values())

    def free_report_slots(self, limit: int) -> int:
        """Return how many report slots nobody holds."""
        return limit - sum(entry.report_slots for entry in self.entries.values())

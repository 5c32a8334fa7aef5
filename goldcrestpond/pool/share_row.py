"""Row of the platform's table that divides a database's connections."""

import msgspec

from .share_entry import ShareEntry


class ShareRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shares of the instances in one database; their sum is within its limit.

    Attributes
    ----------
    entries : dict of str to ShareEntry
        Entries by name of the instance.
    """

    entries: dict[str, ShareEntry] = {}

    def free_connections(self, limit: int) -> int:
        """Return the number of connections that are in no instance's share."""
        return limit - sum(entry.share for entry in self.entries.values())

    def free_report_slots(self, limit: int) -> int:
        """Return the number of report slots that no instance has."""
        return limit - sum(entry.report_slots for entry in self.entries.values())

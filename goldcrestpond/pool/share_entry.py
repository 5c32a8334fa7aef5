"""Share of one instance in a database's connections."""

import msgspec


class ShareEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entry of one instance in a share row.

    Attributes
    ----------
    share : int
        Number of connections that the instance may have while it holds its lease.
    floor : int
        Number of them that it may keep without a lease, until the platform's list no
        longer contains the instance.
    demand : int
        Number of connections that it could use; if this exceeds ``share``, it asks
        the other instances to give up some of theirs.
    report_slots : int
        Number of reports that it may run at once while it holds its lease.
    epoch : int
        Number of the instance's writes of this row, so that no two rows are equal.
    """

    share: int
    floor: int
    demand: int = 0
    report_slots: int = 0
    epoch: int = 0

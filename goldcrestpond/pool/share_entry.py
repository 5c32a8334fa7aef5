"""What one instance holds of a database's connections."""

import msgspec


class ShareEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entry of one instance in a share row.

    Attributes
    ----------
    share : int
        Connections that the instance may hold while its lease lasts.
    floor : int
        Part of them that it may hold also without a lease, until the
        platform's list has dropped it.
    demand : int
        Connections that it could use; more than ``share`` asks the others.
    report_slots : int
        Reports that it may run at once while its lease lasts.
    epoch : int
        Count of the instance's own writes, which makes each row differ.
    """

    share: int
    floor: int
    demand: int = 0
    report_slots: int = 0
    epoch: int = 0

"""What a former home leaves to its successor."""

from dataclasses import dataclass

# A state of the tables that decide roles: era of the store, version of the last changed
# row of the members' table, version of the configuration. One state is later than
# another if none of its numbers is lower.
TableVersion = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Handover:
    """A main share that its sender has stopped to spend.

    It is for one instance only: two that accept it would spend it twice.

    Attributes
    ----------
    organisation : str
        Name of the organisation.
    share : float
        Part of the main share, above 0 and up to 1.
    tokens_millionths : int
        Operations that the sender might still have run at once, in millionths.
    version : tuple of int
        State of the tables by which the sender lost the share.
    """

    organisation: str
    share: float
    tokens_millionths: int
    version: TableVersion

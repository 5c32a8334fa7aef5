"""What a former home leaves to its successor."""

from dataclasses import dataclass

# Era of the store and version of the members' table in it.
TableVersion = tuple[int, int]


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
    version : tuple of (int, int)
        State of the members' table by which the sender lost the share.
    """

    organisation: str
    share: float
    tokens_millionths: int
    version: TableVersion

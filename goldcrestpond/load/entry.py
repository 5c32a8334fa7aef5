"""One write of one caller."""

from dataclasses import dataclass

from ..group.log_position import LogPosition
from .told import Told


@dataclass(slots=True)
class Entry:
    """A fuel entry with what its caller was told.

    Attributes
    ----------
    session : str
        Session that wrote it.
    number : int
        Count within the session.
    part_count : int
        Rows that its transaction writes.
    told : Told
        Unknown until the answer came.
    position : LogPosition or None
        Position in the token that came with the acknowledgement.
    """

    session: str
    number: int
    part_count: int = 1
    told: Told = Told.UNKNOWN
    position: LogPosition | None = None

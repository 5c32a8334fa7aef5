"""Bounds on the data that a read may see."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReadBound:
    """Bounds on the data of a read.

    Attributes
    ----------
    min_position : int or None
        Lowest log position, in the current term's log, that the read must show; None
        for no bound.
    max_age : timedelta or None
        Maximum age of the data; None for no bound.
    """

    min_position: int | None
    max_age: timedelta | None

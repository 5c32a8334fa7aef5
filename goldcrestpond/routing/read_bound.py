"""What a read demands of the data that it sees."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReadBound:
    """Bounds on the data of a read, in the present term's history.

    Attributes
    ----------
    min_position : int or None
        Least position that it must show.
    max_age : timedelta or None
        Greatest age of its data.
    """

    min_position: int | None
    max_age: timedelta | None

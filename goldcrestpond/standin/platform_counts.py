"""Counts of the requests that the platform stand-in has received."""

from dataclasses import dataclass


@dataclass(slots=True)
class PlatformCounts:
    """Requests since the start, including refused and unanswered ones.

    Attributes
    ----------
    reads : int
        Read requests.
    writes : int
        Write requests.
    """

    reads: int = 0
    writes: int = 0

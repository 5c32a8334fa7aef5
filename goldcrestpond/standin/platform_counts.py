"""Requests that the platform stand-in has met."""

from dataclasses import dataclass


@dataclass(slots=True)
class PlatformCounts:
    """Counts since the start, refused and unanswered requests included.

    Attributes
    ----------
    reads : int
        Requests that read.
    writes : int
        Requests that write.
    """

    reads: int = 0
    writes: int = 0

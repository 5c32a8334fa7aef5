"""A place in a group's log."""

from typing import NamedTuple


class LogPosition(NamedTuple):
    """Term and position; tuples order by term first.

    The order is the log's order only along one history: a position of a
    former term is in a later term's history up to that term's start position.

    Attributes
    ----------
    term : int
        Term of the primary that wrote the entry.
    position : int
        Entries in the log up to and including this one.
    """

    term: int
    position: int

    def __str__(self) -> str:
        return f"{self.term}/{self.position}"


def parse_log_position(text: str) -> LogPosition:
    """Parse ``TERM/POSITION``.

    Raises
    ------
    ValueError
        If the text is no log position.
    """
    term, _, position = text.partition("/")
    parsed = LogPosition(int(term), int(position))
    if parsed.term < 0 or parsed.position < 0:
        raise ValueError(f"negative log position: {text!r}")
    return parsed

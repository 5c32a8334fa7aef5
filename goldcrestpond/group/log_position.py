"""A position in a group's log."""

from typing import NamedTuple


class LogPosition(NamedTuple):
    """Term and position of a log entry; compared by term first.

    The history of a term is the log of its primary, including the entries that it
    took over from earlier terms. This order is that of the log only within one
    history: an entry of an earlier term is part of a later term's history only if
    its position is at or below that term's start position.

    Attributes
    ----------
    term : int
        Term of the primary that wrote the entry.
    position : int
        Number of entries in the log up to and including this one.
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
        If the text is not a log position.
    """
    term, _, position = text.partition("/")
    parsed = LogPosition(int(term), int(position))
    if parsed.term < 0 or parsed.position < 0:
        raise ValueError(f"negative log position: {text!r}")
    return parsed

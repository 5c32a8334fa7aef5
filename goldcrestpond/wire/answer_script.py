"""Which completions of an answer belong to the caller."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ParseStep:
    """One ParseComplete that will come.

    Attributes
    ----------
    name : str
        Statement that it prepares on the connection; empty for the unnamed.
    is_relayed : bool
        Whether the caller asked for it.
    """

    name: str
    is_relayed: bool


@dataclass(frozen=True, slots=True)
class CloseStep:
    """One CloseComplete that will come.

    Attributes
    ----------
    name : str
        Statement that the connection forgets; empty for none.
    is_relayed : bool
        Whether the caller asked for it.
    """

    name: str
    is_relayed: bool


@dataclass(slots=True)
class AnswerScript:
    """Completions that a batch will bring, in order.

    Attributes
    ----------
    parses : deque of ParseStep
        ParseComplete frames to come.
    closes : deque of CloseStep
        CloseComplete frames to come.
    skipped_answers : int
        Whole answers to the proxy's own statements that come first.
    """

    parses: deque[ParseStep] = field(default_factory=deque)
    closes: deque[CloseStep] = field(default_factory=deque)
    skipped_answers: int = 0

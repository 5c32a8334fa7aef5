"""Completion frames that an endpoint will send, and which of them to relay."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ExpectedParse:
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
class ExpectedClose:
    """One CloseComplete that will come.

    Attributes
    ----------
    name : str
        Statement that it closes on the connection; empty for none.
    is_relayed : bool
        Whether the caller asked for it.
    """

    name: str
    is_relayed: bool


@dataclass(slots=True)
class ExpectedCompletions:
    """Completions that the endpoint will send for a batch, in order.

    Attributes
    ----------
    parses : deque of ExpectedParse
        ParseComplete frames to come.
    closes : deque of ExpectedClose
        CloseComplete frames to come.
    answers_to_skip : int
        Number of whole answers, to statements that the proxy sent ahead of the
        batch, that precede the caller's answer and are not relayed.
    """

    parses: deque[ExpectedParse] = field(default_factory=deque)
    closes: deque[ExpectedClose] = field(default_factory=deque)
    answers_to_skip: int = 0

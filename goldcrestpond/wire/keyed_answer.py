"""The answer to a request with an id."""

from dataclasses import dataclass

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class KeyedAnswer:
    """Result of an attempt at a request with an id.

    Attributes
    ----------
    data : bytes
        Answer for the caller, without ReadyForQuery.
    committed : LogPosition or None
        Log position that must be confirmed before the answer is sent.
    """

    data: bytes
    committed: LogPosition | None

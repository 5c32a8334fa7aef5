"""The answer to a request with an id."""

from dataclasses import dataclass

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class KeyedAnswer:
    """What an attempt at a request with an id came to.

    Attributes
    ----------
    data : bytes
        Answer for the caller, without ReadyForQuery.
    committed : LogPosition or None
        Position to confirm before the caller hears the answer.
    """

    data: bytes
    committed: LogPosition | None

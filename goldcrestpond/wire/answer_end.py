"""How an endpoint's answer ended."""

from dataclasses import dataclass

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End of one answer.

    Attributes
    ----------
    status : int
        Transaction status byte of ReadyForQuery: ``I``, ``T`` or ``E``.
    committed : LogPosition or None
        Position of a transaction that wrote and committed.
    held : bytes
        Frames that were held back until the commit is confirmed.
    is_error : bool
        Whether the answer held an ErrorResponse.
    """

    status: int
    committed: LogPosition | None
    held: bytes
    is_error: bool


STATUS_IDLE = ord("I")
STATUS_FAILED = ord("E")

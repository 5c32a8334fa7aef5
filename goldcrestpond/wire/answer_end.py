"""State at the end of an endpoint's answer."""

from dataclasses import dataclass

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """What is known of an answer when its ReadyForQuery has arrived.

    Attributes
    ----------
    status : int
        Transaction status byte of ReadyForQuery: ``I``, ``T`` or ``E``.
    committed : LogPosition or None
        Log position of the commit, if the transaction wrote and committed.
    held : bytes
        Frames that must not be sent to the caller before the commit is confirmed.
    is_error : bool
        Whether the answer contained an ErrorResponse.
    """

    status: int
    committed: LogPosition | None
    held: bytes
    is_error: bool


STATUS_IDLE = ord("I")
STATUS_FAILED = ord("E")

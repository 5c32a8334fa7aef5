"""What is left to send of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """End of the answer to one batch.

    Attributes
    ----------
    data : bytes
        Frames that were held back.
    status : int or None
        Transaction status byte of its ReadyForQuery; None if none is due yet.
    is_error : bool
        Whether the answer held an ErrorResponse.
    """

    data: bytes
    status: int | None
    is_error: bool

"""The part of an answer that is still to be sent."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """End of the answer to one batch.

    Attributes
    ----------
    data : bytes
        Frames that are still to be sent, without ReadyForQuery.
    status : int or None
        Transaction status byte of the ReadyForQuery to send; None if the batch
        ended in a Flush, which has no ReadyForQuery.
    is_error : bool
        Whether the answer contained an ErrorResponse.
    """

    data: bytes
    status: int | None
    is_error: bool

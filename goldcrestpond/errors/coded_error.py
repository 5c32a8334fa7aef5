"""Exception with a numbered result code."""

from .result_code import ResultCode

# Details may quote text from callers, which can be very long.
DETAIL_LIMIT_CHARACTERS = 1000


class CodedError(Exception):
    """An error with a numbered result code.

    Parameters
    ----------
    code : ResultCode
        Numbered result code.
    detail : str, default=""
        What happened, in one short sentence; truncated to
        `DETAIL_LIMIT_CHARACTERS`.
    retry_after_ms : int, default=0
        Delay after which the caller may retry; 0 if unknown.
    """

    __slots__ = ("code", "detail", "retry_after_ms")

    def __init__(self, code: ResultCode, detail: str = "", retry_after_ms: int = 0):
        detail = detail[:DETAIL_LIMIT_CHARACTERS]
        super().__init__(f"GP{code.number} {detail or code.meaning}")
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def text(self) -> str:
        """Message for the caller: what happened and after which delay to retry."""
        text = self.detail or self.code.meaning
        if self.retry_after_ms:
            text += f"; retry after {self.retry_after_ms} ms"
        return text

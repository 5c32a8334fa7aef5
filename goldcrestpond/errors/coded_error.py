"""The exception that carries a numbered result code."""

from .result_code import ResultCode

# Texts of callers are quoted in details; what is longer says no more.
DETAIL_LIMIT_CHARACTERS = 1000


class CodedError(Exception):
    """An error with a numbered result code.

    Parameters
    ----------
    code : ResultCode
        The numbered result.
    detail : str, default=""
        What happened, in one short sentence; cut at `DETAIL_LIMIT_CHARACTERS`.
    retry_after_ms : int, default=0
        When the caller may ask again; 0 means that no time is known.
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
        """What a caller is told: what happened, and when it may ask again."""
        text = self.detail or self.code.meaning
        if self.retry_after_ms:
            text += f"; retry after {self.retry_after_ms} ms"
        return text

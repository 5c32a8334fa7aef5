"""Memory that all callers together may have waiting in messages."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

# A third of the smallest machine's 200 MB; a thousand callers' usual messages fit in
# what is free of it.
BUDGET_BYTES = 64 << 20
RETRY_MS = 1000  # a message is read, and answered, within about a second


class ReceiveBudget:
    """Counts the bytes that callers have sent and that are kept.

    Parameters
    ----------
    limit_bytes : int, default=BUDGET_BYTES
        Most that may be kept.

    Attributes
    ----------
    limit_bytes : int
        See above.
    used_bytes : int
        What is kept.
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int = BUDGET_BYTES):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, size_bytes: int) -> None:
        """Take so many bytes more; a negative number gives some back.

        Raises
        ------
        CodedError
            OVERLOADED if they are not there; nothing is taken then.
        """
        used_bytes = self.used_bytes + size_bytes
        if size_bytes > 0 and used_bytes > self.limit_bytes:
            detail = "too much has been sent and not been answered; not run"
            raise CodedError(ResultCode.OVERLOADED, detail, RETRY_MS)
        self.used_bytes = used_bytes

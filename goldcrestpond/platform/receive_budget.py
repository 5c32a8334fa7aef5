"""Limit on the memory for buffered messages of all callers together."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

# A third of the 200 MB of the smallest machine. The first `FREE_BYTES` of each
# connection are not counted; messages of typical size fit into them, also those of
# a thousand callers.
BUDGET_BYTES = 64 << 20
RETRY_MS = 1000  # messages are usually read and answered within a second


class ReceiveBudget:
    """Counts the buffered bytes of all callers against a limit.

    Parameters
    ----------
    limit_bytes : int, default=BUDGET_BYTES
        Maximum number of buffered bytes.

    Attributes
    ----------
    limit_bytes : int
        Maximum number of buffered bytes.
    used_bytes : int
        Number of buffered bytes.
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int = BUDGET_BYTES):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> None:
        """Reserve ``size_bytes``; a negative number releases bytes.

        Raises
        ------
        CodedError
            OVERLOADED if the limit would be exceeded; nothing is reserved then.
        """
        used_bytes = self.used_bytes + size_bytes
        if size_bytes > 0 and used_bytes > self.limit_bytes:
            detail = "too many bytes of unanswered messages; not run"
            raise CodedError(ResultCode.OVERLOADED, detail, RETRY_MS)
        self.used_bytes = used_bytes

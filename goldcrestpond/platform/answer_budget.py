"""Limit on the memory for answers that callers have not read yet."""

from collections import OrderedDict
from collections.abc import Callable

BUDGET_BYTES = 48 << 20  # a quarter of the 200 MB of the smallest machine
# Answers of up to this size are not counted; a socket's send buffer takes them.
FREE_BYTES = 16 << 10


class AnswerBudget:
    """Counts the bytes of unread answers of all callers against a limit.

    Where it is exceeded, the answer of which nothing was read for the longest time is
    given up, so that callers beside a slow one get theirs.

    Parameters
    ----------
    limit_bytes : int, default=BUDGET_BYTES
        Maximum number of bytes.

    Attributes
    ----------
    used_bytes : int
        Number of bytes of the answers that are counted.
    """

    __slots__ = ("_limit_bytes", "_unread", "used_bytes")

    def __init__(self, limit_bytes: int = BUDGET_BYTES):
        self._limit_bytes = limit_bytes
        # Bytes that are left, by the function that gives the answer up; the one of
        # which nothing was read for the longest time is the first.
        self._unread: OrderedDict[Callable[[], None], int] = OrderedDict()
        self.used_bytes = 0

    def record_left(self, give_up: Callable[[], None], size_bytes: int) -> None:
        """Record how much of an answer is left to send, after each part that was read.

        Parameters
        ----------
        give_up : callable
            Gives the answer up; the same for all parts of one answer.
        size_bytes : int
            Number of bytes left; 0 at the end.
        """
        self.used_bytes += size_bytes - self._unread.pop(give_up, 0)
        if size_bytes:
            self._unread[give_up] = size_bytes
        while self.used_bytes > self._limit_bytes and len(self._unread) > 1:
            give_up_first, left_bytes = self._unread.popitem(last=False)
            self.used_bytes -= left_bytes
            give_up_first()

"""Splits a byte stream into lines."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .receive_budget import ReceiveBudget

MESSAGE_LIMIT_BYTES = 1 << 20  # the platform's limit
# Each connection may buffer this much without drawing on the shared budget.
FREE_BYTES = 16 << 10
_LINE_END = b"\r\n"


class LineBuffer:
    """Splits received bytes at CR LF.

    Lines are decoded as Latin-1, which maps every byte to one character, so that
    any bytes can be encoded again unchanged.

    Parameters
    ----------
    budget : ReceiveBudget or None
        Shared limit that accounts for buffered bytes beyond `FREE_BYTES`. The last
        returned line counts as buffered until the next call of `next_line`.
    """

    __slots__ = ("_budget", "_charged_bytes", "_data", "_line_bytes", "_searched_bytes")

    def __init__(self, budget: ReceiveBudget | None = None) -> None:
        self._budget = budget
        self._data = bytearray()
        self._line_bytes = 0
        self._searched_bytes = 0
        self._charged_bytes = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes.

        Raises
        ------
        CodedError
            OVERLOADED if the budget is exhausted.
        """
        self._data += data
        self._update_budget()

    def next_line(self) -> str | None:
        """Remove and return the next complete line, or None.

        Raises
        ------
        CodedError
            FRAME_TOO_LARGE if a line exceeds the limit.
        """
        self._line_bytes = 0
        end = self._data.find(_LINE_END, max(0, self._searched_bytes - 1))
        length = len(self._data) if end < 0 else end
        if length > MESSAGE_LIMIT_BYTES:
            raise CodedError(
                ResultCode.FRAME_TOO_LARGE, f"line of at least {length} bytes"
            )
        if end < 0:
            self._searched_bytes = len(self._data)
            self._update_budget()
            return None
        line = self._data[:end].decode("latin-1")
        del self._data[: end + len(_LINE_END)]
        self._searched_bytes = 0
        self._line_bytes = len(line)
        self._update_budget()
        return line

    def close(self) -> None:
        """Discard the buffered bytes and release their share of the budget."""
        self._data.clear()
        self._line_bytes = 0
        self._update_budget()

    def _update_budget(self) -> None:
        if self._budget is None:
            return
        buffered_bytes = len(self._data) + self._line_bytes
        charged_bytes = max(0, buffered_bytes - FREE_BYTES)
        if charged_bytes != self._charged_bytes:
            self._budget.reserve(charged_bytes - self._charged_bytes)
            self._charged_bytes = charged_bytes

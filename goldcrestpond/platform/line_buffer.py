"""Cuts a byte stream into lines."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .receive_budget import ReceiveBudget

MESSAGE_LIMIT_BYTES = 1 << 20  # the platform's limit
# What each connection may keep besides the budget that it shares with others.
FREE_BYTES = 16 << 10
_END = b"\r\n"


class LineBuffer:
    """Splits received bytes at CR LF.

    Text is decoded as Latin-1, which maps each byte to one character and back.

    Parameters
    ----------
    budget : ReceiveBudget or None
        What is kept beyond `FREE_BYTES` is taken from it, the last line included
        until the next one is asked for.
    """

    __slots__ = ("_budget", "_data", "_line_bytes", "_searched", "_taken_bytes")

    def __init__(self, budget: ReceiveBudget | None = None) -> None:
        self._budget = budget
        self._data = bytearray()
        self._line_bytes = 0
        self._searched = 0
        self._taken_bytes = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes.

        Raises
        ------
        CodedError
            OVERLOADED if the budget is used up.
        """
        self._data += data
        self._account()

    def next_line(self) -> str | None:
        """Remove and return the next whole line, or None.

        Raises
        ------
        CodedError
            FRAME_TOO_LARGE if a line exceeds the limit.
        """
        self._line_bytes = 0
        end = self._data.find(_END, max(0, self._searched - 1))
        length = len(self._data) if end < 0 else end
        if length > MESSAGE_LIMIT_BYTES:
            raise CodedError(ResultCode.FRAME_TOO_LARGE, f"{length} bytes")
        if end < 0:
            self._searched = len(self._data)
            self._account()
            return None
        line = self._data[:end].decode("latin-1")
        del self._data[: end + len(_END)]
        self._searched = 0
        self._line_bytes = len(line)
        self._account()
        return line

    def close(self) -> None:
        """Give back what is taken from the budget; nothing is read any more."""
        self._data.clear()
        self._line_bytes = 0
        self._account()

    def _account(self) -> None:
        if self._budget is None:
            return
        kept_bytes = len(self._data) + self._line_bytes
        wanted_bytes = max(0, kept_bytes - FREE_BYTES)
        if wanted_bytes != self._taken_bytes:
            self._budget.take(wanted_bytes - self._taken_bytes)
            self._taken_bytes = wanted_bytes

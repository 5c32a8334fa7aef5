"""Cuts a byte stream into lines."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

MESSAGE_LIMIT_BYTES = 1 << 20  # the platform's limit
_END = b"\r\n"


class LineBuffer:
    """Splits received bytes at CR LF.

    Text is decoded as Latin-1, which maps each byte to one character and back.
    """

    __slots__ = ("_data", "_searched")

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._data += data

    def next_line(self) -> str | None:
        """Remove and return the next whole line, or None.

        Raises
        ------
        CodedError
            FRAME_TOO_LARGE if a line exceeds the limit.
        """
        end = self._data.find(_END, max(0, self._searched - 1))
        length = len(self._data) if end < 0 else end
        if length > MESSAGE_LIMIT_BYTES:
            raise CodedError(ResultCode.FRAME_TOO_LARGE, f"{length} bytes")
        if end < 0:
            self._searched = len(self._data)
            return None
        line = self._data[:end].decode("latin-1")
        del self._data[: end + len(_END)]
        self._searched = 0
        return line

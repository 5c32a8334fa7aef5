"""Cuts a byte stream into whole frames."""

import struct

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .frame import Frame

HEADER_BYTES = 5
_LENGTH = struct.Struct("!I")
_LENGTH_FIELD_BYTES = 4


class FrameSplitter:
    """Buffers bytes until a frame is whole.

    Parameters
    ----------
    frame_limit_bytes : int
        Largest frame that is taken, header included.
    """

    __slots__ = ("_buffer", "_frame_limit_bytes")

    def __init__(self, frame_limit_bytes: int):
        self._buffer = b""
        self._frame_limit_bytes = frame_limit_bytes

    @property
    def pending_bytes(self) -> int:
        """Bytes of the frame that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the frames that are now whole.

        Raises
        ------
        CodedError
            MALFORMED_FRAME for an impossible length, FRAME_TOO_LARGE for one
            over the limit; the stream cannot be read any further.
        """
        buffer = self._buffer + data if self._buffer else data
        frames = []
        start = 0
        available = len(buffer)
        while available - start >= HEADER_BYTES:
            (length,) = _LENGTH.unpack_from(buffer, start + 1)
            end = start + 1 + length
            if end - start > self._frame_limit_bytes or length < _LENGTH_FIELD_BYTES:
                raise self._bad_length(length)
            if end > available:
                break
            frames.append(Frame(buffer[start], buffer[start:end]))
            start = end
        self._buffer = buffer[start:] if start else buffer
        return frames

    def _bad_length(self, length: int) -> CodedError:
        if length < _LENGTH_FIELD_BYTES:
            return CodedError(ResultCode.MALFORMED_FRAME, f"frame length {length}")
        return CodedError(
            ResultCode.FRAME_TOO_LARGE,
            f"frame of {length} bytes, limit {self._frame_limit_bytes}",
        )

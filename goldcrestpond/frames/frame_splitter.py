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

    __slots__ = ("_buffer", "_frame_limit_bytes", "_needed_bytes")

    def __init__(self, frame_limit_bytes: int):
        self._buffer = bytearray()
        self._needed_bytes = HEADER_BYTES
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
        if not self._buffer:
            return self._split(data)
        self._buffer += data
        # A large frame in many pieces is copied once, not with each of them.
        if len(self._buffer) < self._needed_bytes:
            return []
        return self._split(bytes(self._buffer))

    def _split(self, data: bytes) -> list[Frame]:
        frames = []
        start = 0
        available = len(data)
        self._needed_bytes = HEADER_BYTES
        while available - start >= HEADER_BYTES:
            (length,) = _LENGTH.unpack_from(data, start + 1)
            end = start + 1 + length
            if end - start > self._frame_limit_bytes or length < _LENGTH_FIELD_BYTES:
                raise self._bad_length(length)
            if end > available:
                self._needed_bytes = end - start
                break
            frames.append(Frame(data[start], data[start:end]))
            start = end
        self._buffer = bytearray(data[start:])
        return frames

    def _bad_length(self, length: int) -> CodedError:
        if length < _LENGTH_FIELD_BYTES:
            return CodedError(ResultCode.MALFORMED_FRAME, f"frame length {length}")
        return CodedError(
            ResultCode.FRAME_TOO_LARGE,
            f"frame of {length} bytes, limit {self._frame_limit_bytes}",
        )

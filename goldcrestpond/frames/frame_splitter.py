"""Splits a byte stream into complete frames."""

import struct

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .frame import Frame

HEADER_BYTES = 5
_LENGTH = struct.Struct("!I")
_LENGTH_FIELD_BYTES = 4


class FrameSplitter:
    """Buffers bytes until a frame is complete.

    Parameters
    ----------
    frame_limit_bytes : int
        Size of the largest accepted frame, including its header.
    """

    __slots__ = ("_buffer", "_frame_limit_bytes", "_needed_bytes")

    def __init__(self, frame_limit_bytes: int):
        self._buffer = bytearray()
        self._needed_bytes = HEADER_BYTES
        self._frame_limit_bytes = frame_limit_bytes

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that they complete.

        Raises
        ------
        CodedError
            MALFORMED_FRAME for an impossible length, FRAME_TOO_LARGE for one
            over the limit; the rest of the stream cannot be split.
        """
        if not self._buffer:
            return self._split(data)
        self._buffer += data
        # Split only once the frame is complete: copying the buffer for each piece
        # of a large frame would take time quadratic in its size.
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
            return CodedError(
                ResultCode.MALFORMED_FRAME, f"frame length {length} is below 4 bytes"
            )
        return CodedError(
            ResultCode.FRAME_TOO_LARGE,
            f"frame of {length} bytes, limit {self._frame_limit_bytes}",
        )

"""Holds back the end of an answer that may acknowledge a commit."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_text

HELD_LIMIT_BYTES = 16 << 20  # rows after an explicit COMMIT in the same text
_COMMIT_TAG = "COMMIT"


class HeldAnswer:
    """Frames from the last CommandComplete on.

    A commit shows only in the frames before ReadyForQuery, after its
    CommandComplete. Rows of a later statement release what is held, because
    the transaction has not ended then, unless the tag says that it has.
    """

    __slots__ = ("_frames", "_has_commit", "_size_bytes")

    def __init__(self):
        self._frames: list[bytes] = []
        self._size_bytes = 0
        self._has_commit = False

    def take(self, frame: Frame) -> bytes:
        """Take one frame and return the bytes that may be sent now.

        Raises
        ------
        CodedError
            OUTCOME_UNKNOWN if too much follows an explicit COMMIT.
        """
        if frame.kind == kinds.COMMAND_COMPLETE:
            self._has_commit = self._has_commit or read_text(frame) == _COMMIT_TAG
            self._hold(frame)
            return b""
        if not self._frames:
            return frame.data
        if frame.kind == kinds.DATA_ROW and not self._has_commit:
            return self.release() + frame.data
        self._hold(frame)
        return b""

    def release(self) -> bytes:
        """Return everything that is held."""
        data = b"".join(self._frames)
        self._frames.clear()
        self._size_bytes = 0
        return data

    def _hold(self, frame: Frame) -> None:
        self._frames.append(frame.data)
        self._size_bytes += len(frame.data)
        if self._size_bytes > HELD_LIMIT_BYTES:
            raise CodedError(
                ResultCode.OUTCOME_UNKNOWN, "too many rows follow a COMMIT"
            )

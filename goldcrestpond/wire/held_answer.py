"""Holds back the frames of an answer that may acknowledge a commit."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_text

HELD_LIMIT_BYTES = 16 << 20  # reached by rows after a COMMIT in the same query text
_COMMIT_TAG = "COMMIT"


class HeldAnswer:
    """Holds the frames of an answer from the last CommandComplete on.

    The position of a commit arrives after its CommandComplete and before
    ReadyForQuery. A row of a later statement shows that the transaction had not
    ended, and releases the held frames, unless a command tag was COMMIT.
    """

    __slots__ = ("_frames", "_has_commit", "_size_bytes")

    def __init__(self):
        self._frames: list[bytes] = []
        self._size_bytes = 0
        self._has_commit = False

    def take(self, frame: Frame) -> bytes:
        """Add a frame and return the bytes that may be sent now.

        Raises
        ------
        CodedError
            OUTCOME_UNKNOWN if more than `HELD_LIMIT_BYTES` would be held.
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
        """Remove and return all held bytes."""
        data = b"".join(self._frames)
        self._frames.clear()
        self._size_bytes = 0
        return data

    def _hold(self, frame: Frame) -> None:
        self._frames.append(frame.data)
        self._size_bytes += len(frame.data)
        if self._size_bytes > HELD_LIMIT_BYTES:
            raise CodedError(
                ResultCode.OUTCOME_UNKNOWN,
                f"more than {HELD_LIMIT_BYTES} bytes of results after a COMMIT",
            )

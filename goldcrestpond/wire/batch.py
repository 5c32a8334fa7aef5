"""Frames that are served as one request."""

from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_text
from .caller_stream import CallerStream
from .statement_kind import Statement, classify_statement

_ENDS = frozenset((kinds.QUERY, kinds.SYNC, kinds.FLUSH, kinds.TERMINATE))
_EXTENDED = frozenset(
    (kinds.PARSE, kinds.BIND, kinds.DESCRIBE, kinds.EXECUTE, kinds.CLOSE)
)
_RUNS = frozenset((kinds.QUERY, kinds.EXECUTE))
_USES = frozenset((kinds.BIND, kinds.EXECUTE))
SYNC_FRAME = Frame(kinds.SYNC, b"S\x00\x00\x00\x04")
_COPY = frozenset((kinds.COPY_DATA, kinds.COPY_DONE, kinds.COPY_FAIL))


@dataclass(slots=True)
class Batch:
    """Frames up to and including the one that asks for an answer.

    Attributes
    ----------
    frames : list of Frame
        The frames in order.
    end : int
        Type byte of the last frame: QUERY, SYNC, FLUSH or TERMINATE.
    """

    frames: list[Frame]
    end: int

    @property
    def runs_statement(self) -> bool:
        """Whether it runs something, rather than prepares or describes it."""
        return any(frame.kind in _RUNS for frame in self.frames)

    @property
    def only_prepares(self) -> bool:
        """Whether it prepares or describes and awaits the answers by a Flush."""
        if self.end != kinds.FLUSH:
            return False
        return not any(frame.kind in _USES for frame in self.frames)

    def with_sync(self) -> "Batch":
        """Return the batch with a Sync in place of its last frame."""
        return Batch([*self.frames[:-1], SYNC_FRAME], kinds.SYNC)

    def first_statement(self) -> Statement | None:
        """Return the first statement text of the batch, if it has one."""
        first = self.frames[0]
        if first.kind == kinds.QUERY:
            return classify_statement(read_text(first))
        if first.kind == kinds.PARSE:
            return classify_statement(parse_query_text(first))
        return None


def parse_query_text(frame: Frame) -> str:
    """Return the statement text of a Parse."""
    end_of_name = frame.data.find(0, 5)
    return read_text(frame, end_of_name + 1)


async def read_batch(stream: CallerStream, batch_limit_bytes: int) -> Batch:
    """Read one batch.

    Raises
    ------
    CallerGone
        If the caller leaves.
    CodedError
        FRAME_TOO_LARGE if the batch exceeds the limit, NOT_CARRIED for a
        function call, MALFORMED_FRAME for a frame that no caller may send.
    """
    frames: list[Frame] = []
    size_bytes = 0
    while True:
        frame = await stream.next_frame()
        if frame.kind in _COPY:
            continue  # left over from a refused COPY; the protocol drops it
        if frame.kind in _ENDS:
            frames.append(frame)
            return Batch(frames, frame.kind)
        if frame.kind not in _EXTENDED:
            raise _unexpected(frame)
        frames.append(frame)
        size_bytes += len(frame.data)
        if size_bytes > batch_limit_bytes:
            raise CodedError(ResultCode.FRAME_TOO_LARGE, "too many frames at once")


def _unexpected(frame: Frame) -> CodedError:
    if frame.kind == kinds.FUNCTION_CALL:
        return CodedError(ResultCode.NOT_CARRIED, "function call")
    return CodedError(ResultCode.MALFORMED_FRAME, f"frame type {frame.kind}")

"""Reads a caller's frames in batches, each of which is served as one request."""

from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_text
from .caller_stream import CallerStream
from .statement_kind import Statement, classify_statement

_END_KINDS = frozenset((kinds.QUERY, kinds.SYNC, kinds.FLUSH, kinds.TERMINATE))
_EXTENDED_KINDS = frozenset(
    (kinds.PARSE, kinds.BIND, kinds.DESCRIBE, kinds.EXECUTE, kinds.CLOSE)
)
_EXECUTING_KINDS = frozenset((kinds.QUERY, kinds.EXECUTE))
_STATEMENT_USE_KINDS = frozenset((kinds.BIND, kinds.EXECUTE))
_SYNC_FRAME = Frame(kinds.SYNC, b"S\x00\x00\x00\x04")
_COPY_KINDS = frozenset((kinds.COPY_DATA, kinds.COPY_DONE, kinds.COPY_FAIL))


@dataclass(slots=True)
class Batch:
    """Frames up to and including the Query, Sync, Flush or Terminate that ends them.

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
        """Whether the batch executes a statement, not only prepares or describes it."""
        return any(frame.kind in _EXECUTING_KINDS for frame in self.frames)

    @property
    def only_prepares(self) -> bool:
        """Whether the batch prepares or describes statements and ends in a Flush."""
        if self.end != kinds.FLUSH:
            return False
        return not any(frame.kind in _STATEMENT_USE_KINDS for frame in self.frames)

    def with_sync(self) -> "Batch":
        """Return a copy of the batch with its last frame replaced by a Sync."""
        return Batch([*self.frames[:-1], _SYNC_FRAME], kinds.SYNC)

    def first_statement(self) -> Statement | None:
        """Classify the statement in the first frame; None if it contains no text."""
        first = self.frames[0]
        if first.kind == kinds.QUERY:
            return classify_statement(read_text(first))
        if first.kind == kinds.PARSE:
            return classify_statement(parse_query_text(first))
        return None


def parse_query_text(frame: Frame) -> str:
    """Return the statement text of a Parse frame."""
    end_of_name = frame.data.find(0, 5)
    return read_text(frame, end_of_name + 1)


async def read_batch(stream: CallerStream, batch_limit_bytes: int) -> Batch:
    """Read one batch.

    Raises
    ------
    CallerGone
        If the connection to the caller is lost.
    CodedError
        FRAME_TOO_LARGE if the batch exceeds the limit, NOT_CARRIED for a
        FunctionCall, MALFORMED_FRAME for a frame that a client may not send.
    """
    frames: list[Frame] = []
    size_bytes = 0
    while True:
        frame = await stream.next_frame()
        if frame.kind in _COPY_KINDS:
            continue  # left over from a refused COPY; the protocol says to ignore it
        if frame.kind in _END_KINDS:
            frames.append(frame)
            return Batch(frames, frame.kind)
        if frame.kind not in _EXTENDED_KINDS:
            raise _unexpected_frame_error(frame)
        frames.append(frame)
        size_bytes += len(frame.data)
        if size_bytes > batch_limit_bytes:
            raise CodedError(
                ResultCode.FRAME_TOO_LARGE,
                f"more than {batch_limit_bytes} bytes before a Sync",
            )


def _unexpected_frame_error(frame: Frame) -> CodedError:
    if frame.kind == kinds.FUNCTION_CALL:
        return CodedError(ResultCode.NOT_CARRIED, "function calls are not supported")
    return CodedError(ResultCode.MALFORMED_FRAME, f"frame type {frame.kind}")

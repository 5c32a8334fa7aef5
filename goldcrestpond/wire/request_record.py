"""The answer to a request as a request table keeps it."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.frame_splitter import FrameSplitter

RECORD_LIMIT_BYTES = 65536  # an answer of rows belongs into no request table
_PREPARATIONS = frozenset(
    (kinds.PARSE_COMPLETE, kinds.BIND_COMPLETE, kinds.CLOSE_COMPLETE)
)
_EXECUTED = frozenset(
    (kinds.COMMAND_COMPLETE, kinds.EMPTY_QUERY, kinds.PORTAL_SUSPENDED)
)
_DESCRIBED = frozenset((kinds.ROW_DESCRIPTION, kinds.NO_DATA))
_OWN_COMPLETION = {
    kinds.PARSE: b"1\x00\x00\x00\x04",
    kinds.BIND: b"2\x00\x00\x00\x04",
    kinds.CLOSE: b"3\x00\x00\x00\x04",
}


def write_record(answer: bytes) -> str:
    """Return the text to keep for an answer without its ReadyForQuery.

    Raises
    ------
    CodedError
        NOT_CARRIED if the answer is too long to be kept.
    """
    frames = FrameSplitter(len(answer) + 1).feed(answer)
    kept = b"".join(frame.data for frame in frames if frame.kind not in _PREPARATIONS)
    if len(kept) > RECORD_LIMIT_BYTES:
        raise CodedError(
            ResultCode.NOT_CARRIED,
            f"an answer over {RECORD_LIMIT_BYTES} bytes to a request with an id",
        )
    return kept.hex()


def replay_record(record: str, asked: list[Frame]) -> bytes:
    """Return a kept answer, in the form that a caller asks for now.

    Parameters
    ----------
    record : str
        What ``write_record`` returned.
    asked : list of Frame
        Frames of the repeated request.

    Raises
    ------
    CodedError
        ENDPOINT_MALFORMED if the record cannot be read.
    """
    try:
        data = bytes.fromhex(record)
    except ValueError as error:
        raise CodedError(ResultCode.ENDPOINT_MALFORMED, "request record") from error
    if asked[0].kind == kinds.QUERY:
        return data
    frames = FrameSplitter(RECORD_LIMIT_BYTES + 1).feed(data)
    return b"".join(_answer_frame(frame, frames) for frame in asked)


def _answer_frame(frame: Frame, kept: list[Frame]) -> bytes:
    if frame.kind in _OWN_COMPLETION:
        return _OWN_COMPLETION[frame.kind]
    if frame.kind == kinds.DESCRIBE:
        return _take_through(kept, _DESCRIBED)
    if frame.kind == kinds.EXECUTE:
        return _take_through(kept, _EXECUTED)
    return b""


def _take_through(kept: list[Frame], ends: frozenset[int]) -> bytes:
    taken = []
    while kept:
        frame = kept.pop(0)
        taken.append(frame.data)
        if frame.kind in ends:
            break
    return b"".join(taken)

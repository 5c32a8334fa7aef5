"""Encodes the answer to a request for storage in a request table."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.frame_splitter import FrameSplitter

MAX_RECORD_BYTES = 65536  # request tables are not for answers of many rows
_PREPARATION_KINDS = frozenset(
    (kinds.PARSE_COMPLETE, kinds.BIND_COMPLETE, kinds.CLOSE_COMPLETE)
)
_EXECUTE_END_KINDS = frozenset(
    (kinds.COMMAND_COMPLETE, kinds.EMPTY_QUERY, kinds.PORTAL_SUSPENDED)
)
_DESCRIBE_END_KINDS = frozenset((kinds.ROW_DESCRIPTION, kinds.NO_DATA))
_COMPLETION_FRAMES = {
    kinds.PARSE: b"1\x00\x00\x00\x04",
    kinds.BIND: b"2\x00\x00\x00\x04",
    kinds.CLOSE: b"3\x00\x00\x00\x04",
}


def encode_record(answer: bytes) -> str:
    """Return the text to store for an answer without its ReadyForQuery.

    Raises
    ------
    CodedError
        NOT_CARRIED if the answer exceeds `MAX_RECORD_BYTES`.
    """
    frames = FrameSplitter(len(answer) + 1).feed(answer)
    stored = b"".join(
        frame.data for frame in frames if frame.kind not in _PREPARATION_KINDS
    )
    if len(stored) > MAX_RECORD_BYTES:
        raise CodedError(
            ResultCode.NOT_CARRIED,
            f"an answer of more than {MAX_RECORD_BYTES} bytes to a request with an id",
        )
    return stored.hex()


def replay_record(record: str, request: list[Frame]) -> bytes:
    """Return a stored answer in the form that a repeated request expects.

    The repeated request may use the other query protocol, simple or extended.

    Parameters
    ----------
    record : str
        Text returned by ``encode_record``.
    request : list of Frame
        Frames of the repeated request.

    Raises
    ------
    CodedError
        ENDPOINT_MALFORMED if the record cannot be read.
    """
    try:
        data = bytes.fromhex(record)
    except ValueError as error:
        raise CodedError(
            ResultCode.ENDPOINT_MALFORMED, "unreadable answer in the request table"
        ) from error
    if request[0].kind == kinds.QUERY:
        return data
    frames = FrameSplitter(MAX_RECORD_BYTES + 1).feed(data)
    return b"".join(_answer_frame(frame, frames) for frame in request)


def _answer_frame(frame: Frame, stored: list[Frame]) -> bytes:
    if frame.kind in _COMPLETION_FRAMES:
        return _COMPLETION_FRAMES[frame.kind]
    if frame.kind == kinds.DESCRIBE:
        return _take_through(stored, _DESCRIBE_END_KINDS)
    if frame.kind == kinds.EXECUTE:
        return _take_through(stored, _EXECUTE_END_KINDS)
    return b""


def _take_through(stored: list[Frame], end_kinds: frozenset[int]) -> bytes:
    taken = []
    while stored:
        frame = stored.pop(0)
        taken.append(frame.data)
        if frame.kind in end_kinds:
            break
    return b"".join(taken)

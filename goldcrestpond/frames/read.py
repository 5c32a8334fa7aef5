"""Reads the few fields of frames that decisions need."""

import struct

from pygwire.exceptions import PygwireError
from pygwire.messages import ErrorResponse, ParameterStatus

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .frame import Frame

_NAME_START = 5


def read_text(frame: Frame, start: int = _NAME_START) -> str:
    """Return the zero-terminated text at ``start`` of the frame.

    Raises
    ------
    CodedError
        MALFORMED_FRAME if no terminator follows or the text is not UTF-8.
    """
    end = frame.data.find(0, start)
    if end < 0:
        raise CodedError(ResultCode.MALFORMED_FRAME, "text without its end")
    try:
        return frame.data[start:end].decode()
    except UnicodeDecodeError as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "text is not UTF-8") from error


def read_error_fields(frame: Frame) -> dict[str, str]:
    """Return the fields of an ErrorResponse by their one-letter names."""
    try:
        return ErrorResponse.decode(frame.body).fields
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "unreadable error") from error


def read_parameter(frame: Frame) -> ParameterStatus:
    """Return a ParameterStatus."""
    try:
        return ParameterStatus.decode(frame.body)
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "unreadable status") from error


def rewrite_text(frame: Frame, start: int, old: str, new: str) -> Frame:
    """Return the frame with the text ``old`` at ``start`` replaced by ``new``.

    Parameters
    ----------
    frame : Frame
        A frame in which ``old`` stands at ``start``, zero-terminated.
    start : int
        Offset of the text in ``frame.data``.
    old, new : str
        Texts without their terminators.
    """
    old_bytes = old.encode()
    new_bytes = new.encode()
    rest = frame.data[start + len(old_bytes) :]
    length = len(frame.data) - 1 + len(new_bytes) - len(old_bytes)
    head = frame.data[:1] + length.to_bytes(4, "big") + frame.data[5:start]
    return Frame(frame.kind, head + new_bytes + rest)

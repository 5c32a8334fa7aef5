"""Reads the fields of frames that the proxy needs."""

import struct

from pygwire.exceptions import PygwireError
from pygwire.messages import ErrorResponse, ParameterStatus

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .frame import Frame

_NAME_START = 5  # after the type and the length of the frame


def read_text(frame: Frame, start: int = _NAME_START) -> str:
    """Return the zero-terminated text at offset ``start`` of the frame.

    Raises
    ------
    CodedError
        MALFORMED_FRAME if no terminator follows or the text is not UTF-8.
    """
    end = frame.data.find(0, start)
    if end < 0:
        raise CodedError(ResultCode.MALFORMED_FRAME, "text is not terminated")
    try:
        return frame.data[start:end].decode()
    except UnicodeDecodeError as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "text is not UTF-8") from error


def read_error_fields(frame: Frame) -> dict[str, str]:
    """Return the fields of an ErrorResponse, keyed by their one-letter type."""
    try:
        return ErrorResponse.decode(frame.body).fields
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "invalid ErrorResponse") from error


def read_parameter(frame: Frame) -> ParameterStatus:
    """Decode a ParameterStatus message."""
    try:
        return ParameterStatus.decode(frame.body)
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(
            ResultCode.MALFORMED_FRAME, "invalid ParameterStatus"
        ) from error


def rewrite_text(frame: Frame, start: int, old: str, new: str) -> Frame:
    """Return the frame with the text ``old`` at ``start`` replaced by ``new``.

    Parameters
    ----------
    frame : Frame
        A frame that contains ``old`` at ``start``, zero-terminated.
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

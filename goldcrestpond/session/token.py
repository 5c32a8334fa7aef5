"""A session token: a group's log position as text."""

from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition, parse_log_position

TOKEN_LIMIT_CHARACTERS = 128  # a group name has at most 63
_COORDINATE_LIMIT = 1 << 63


@dataclass(frozen=True, slots=True)
class Token:
    """What a caller brings to another proxy to read its own writes.

    Attributes
    ----------
    group : str
        Name of the database group.
    position : LogPosition
        Position of the session's last acknowledged write or read floor.
    """

    group: str
    position: LogPosition

    def __str__(self) -> str:
        return f"{self.group}:{self.position}"


def parse_token(text: str) -> Token:
    """Parse ``GROUP:TERM/POSITION``.

    Raises
    ------
    CodedError
        BAD_TOKEN if the text is no token.
    """
    if len(text) > TOKEN_LIMIT_CHARACTERS:
        raise _bad_token("too long")
    group, _, position_text = text.rpartition(":")
    try:
        position = parse_log_position(position_text)
    except ValueError as error:
        raise _bad_token(text) from error
    token = Token(group, position)
    if not group or max(position) >= _COORDINATE_LIMIT or str(token) != text:
        raise _bad_token(text)
    return token


def _bad_token(detail: str) -> CodedError:
    return CodedError(ResultCode.BAD_TOKEN, f"no token: {detail!r}")

"""A session token: the name of a group and a position in its log, as text."""

from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition, parse_log_position

# A group name has at most 63 characters, and each of the two numbers at most 19.
MAX_TOKEN_CHARACTERS = 128
_NUMBER_LIMIT = 1 << 63  # terms and positions are below this


@dataclass(frozen=True, slots=True)
class Token:
    """Token that a caller passes to another instance to read its own writes there.

    Attributes
    ----------
    group : str
        Name of the database group.
    position : LogPosition
        Lowest log position that the session's reads must show, such as that of its
        last acknowledged write.
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
        BAD_TOKEN if the text is not a valid token.
    """
    if len(text) > MAX_TOKEN_CHARACTERS:
        raise _bad_token("<more than 128 characters>")
    group, _, position_text = text.rpartition(":")
    try:
        position = parse_log_position(position_text)
    except ValueError as error:
        raise _bad_token(text) from error
    token = Token(group, position)
    if not group or max(position) >= _NUMBER_LIMIT or str(token) != text:
        raise _bad_token(text)
    return token


def _bad_token(detail: str) -> CodedError:
    return CodedError(ResultCode.BAD_TOKEN, f"invalid token: {detail!r}")

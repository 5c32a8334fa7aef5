"""Session parameters by which a caller declares how its requests may be run."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..pool.lane import Lane
from ..session.token import Token, parse_token
from .route_defaults import RouteDefaults

PREFIX = "goldcrestpond."
READ_ONLY_PARAMETER = "default_transaction_read_only"
MAX_REQUEST_ID_CHARACTERS = 200  # limits the size of rows in the request table
_TRUE_VALUES = {"on", "true", "yes", "1", "t"}
_FALSE_VALUES = {"off", "false", "no", "0", "f"}


@dataclass(slots=True)
class Declarations:
    """Declared parameters of a session; the route supplies the defaults.

    Attributes
    ----------
    read_only : bool
        Whether all transactions are read-only, which the endpoint enforces.
    repeatable : bool
        Whether a request may be repeated when its outcome is unknown.
    max_age : timedelta or None
        Greatest age of data that reads accept.
    lane : str
        Lane in which requests wait for a slot.
    request_id : str
        Id of the next request; empty for none.
    min_position : LogPosition or None
        Least log position that the session's reads must show.
    declared : set of str
        Names of the parameters that the caller has set.
    """

    read_only: bool = False
    repeatable: bool = False
    max_age: timedelta | None = None
    lane: str = "short"
    request_id: str = ""
    min_position: LogPosition | None = None
    declared: set[str] = field(default_factory=set)

    def apply_defaults(self, defaults: RouteDefaults) -> None:
        """Apply a route's values to the parameters that the caller has not set."""
        if READ_ONLY_PARAMETER not in self.declared:
            self.read_only = defaults.read_only
        if PREFIX + "repeatable" not in self.declared:
            self.repeatable = defaults.repeatable
        if PREFIX + "lane" not in self.declared:
            self.lane = defaults.lane
        if PREFIX + "max_age_ms" not in self.declared:
            self.max_age = defaults.max_age

    def apply(self, name: str, value: str, group: str) -> None:
        """Set one parameter.

        Parameters
        ----------
        name : str
            Name with its prefix, in lower case.
        value : str
            Value as the caller wrote it, without quotes.
        group : str
            Name of the group that tokens must belong to.

        Raises
        ------
        CodedError
            BAD_PARAMETER or BAD_TOKEN.
        """
        if name == READ_ONLY_PARAMETER:
            self.read_only = _parse_boolean(name, value)
        elif name == PREFIX + "repeatable":
            self.repeatable = _parse_boolean(name, value)
        elif name == PREFIX + "max_age_ms":
            self.max_age = _parse_max_age(value)
        elif name == PREFIX + "lane":
            self.lane = _parse_lane(value)
        elif name == PREFIX + "request_id":
            self.request_id = _parse_request_id(value)
        elif name == PREFIX + "token":
            self._apply_token(value, group)
        else:
            raise CodedError(ResultCode.BAD_PARAMETER, f"unknown parameter {name}")
        self.declared.add(name)

    def show(self, name: str, group: str) -> str:
        """Return the current value of a parameter as text."""
        if name == PREFIX + "token":
            return str(Token(group, self.min_position)) if self.min_position else ""
        if name == PREFIX + "max_age_ms":
            return (
                str(round(self.max_age / timedelta(milliseconds=1)))
                if (self.max_age is not None)
                else ""
            )
        if name == PREFIX + "repeatable":
            return "on" if self.repeatable else "off"
        if name == PREFIX + "lane":
            return self.lane
        if name == PREFIX + "request_id":
            return self.request_id
        raise CodedError(ResultCode.BAD_PARAMETER, f"unknown parameter {name}")

    def raise_min_position(self, position: LogPosition) -> None:
        """Require later reads to show at least ``position``."""
        if self.min_position is None or position > self.min_position:
            self.min_position = position

    def _apply_token(self, value: str, group: str) -> None:
        if not value:
            return  # a RESET; later reads must still show what the session has seen
        token = parse_token(value)
        if token.group != group:
            raise CodedError(
                ResultCode.BAD_TOKEN, f"the token does not belong to group {group}"
            )
        self.raise_min_position(token.position)


def _parse_boolean(name: str, value: str) -> bool:
    lowered = value.lower()
    if lowered in _TRUE_VALUES:
        return True
    if lowered in _FALSE_VALUES:
        return False
    raise CodedError(ResultCode.BAD_PARAMETER, f"{name} must be on or off")


def _parse_lane(value: str) -> str:
    lanes = tuple(Lane)
    if value not in lanes:
        detail = f"lane must be one of {', '.join(lanes)}"
        raise CodedError(ResultCode.BAD_PARAMETER, detail)
    return Lane(value)


def _parse_request_id(value: str) -> str:
    if len(value) > MAX_REQUEST_ID_CHARACTERS:
        raise CodedError(
            ResultCode.BAD_PARAMETER,
            f"request_id may have at most {MAX_REQUEST_ID_CHARACTERS} characters",
        )
    return value


def _parse_max_age(value: str) -> timedelta | None:
    if not value:
        return None
    if not value.isascii() or not value.isdigit() or len(value) > 10:
        raise CodedError(
            ResultCode.BAD_PARAMETER,
            "max_age_ms must be a whole number of milliseconds",
        )
    return timedelta(milliseconds=int(value))

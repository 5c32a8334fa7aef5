"""What a caller declares about its work."""

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
REQUEST_ID_LIMIT = 200  # characters; each is kept in the request table
_TRUE = {"on", "true", "yes", "1", "t"}
_FALSE = {"off", "false", "no", "0", "f"}


@dataclass(slots=True)
class Declarations:
    """A session's declarations; a route gives the first values.

    Attributes
    ----------
    read_only : bool
        All transactions are read-only, enforced by the endpoint.
    repeatable : bool
        Work may be repeated when its outcome is unknown.
    max_age : timedelta or None
        Age of data that reads accept.
    lane : str
        Lane of the slots.
    request_id : str
        Identity of the next request; empty for none.
    min_position : LogPosition or None
        Least position that the session's reads must show.
    declared : set of str
        Parameters that the caller has set itself.
    """

    read_only: bool = False
    repeatable: bool = False
    max_age: timedelta | None = None
    lane: str = "short"
    request_id: str = ""
    min_position: LogPosition | None = None
    declared: set[str] = field(default_factory=set)

    def take_defaults(self, defaults: RouteDefaults) -> None:
        """Take what a route declares, but for what the caller has declared."""
        if READ_ONLY_PARAMETER not in self.declared:
            self.read_only = defaults.read_only
        if PREFIX + "repeatable" not in self.declared:
            self.repeatable = defaults.repeatable
        if PREFIX + "lane" not in self.declared:
            self.lane = defaults.lane
        if PREFIX + "max_age_ms" not in self.declared:
            self.max_age = defaults.max_age

    def apply(self, name: str, value: str, group: str) -> None:
        """Take one parameter.

        Parameters
        ----------
        name : str
            Name with its prefix, in lower case.
        value : str
            Value as the caller wrote it, without quotes.
        group : str
            Group that the session's tokens must belong to.

        Raises
        ------
        CodedError
            BAD_PARAMETER or BAD_TOKEN.
        """
        if name == READ_ONLY_PARAMETER:
            self.read_only = _read_switch(name, value)
        elif name == PREFIX + "repeatable":
            self.repeatable = _read_switch(name, value)
        elif name == PREFIX + "max_age_ms":
            self.max_age = _read_age(value)
        elif name == PREFIX + "lane":
            self.lane = _read_lane(value)
        elif name == PREFIX + "request_id":
            self.request_id = _read_request_id(value)
        elif name == PREFIX + "token":
            self._take_token(value, group)
        else:
            raise CodedError(ResultCode.BAD_PARAMETER, f"unknown parameter {name}")
        self.declared.add(name)

    def show(self, name: str, group: str) -> str:
        """Return the present value of a parameter as text."""
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

    def raise_floor(self, position: LogPosition) -> None:
        """Make later reads show ``position``."""
        if self.min_position is None or position > self.min_position:
            self.min_position = position

    def _take_token(self, value: str, group: str) -> None:
        if not value:
            return  # a reset; what the session has seen still counts
        token = parse_token(value)
        if token.group != group:
            raise CodedError(ResultCode.BAD_TOKEN, f"token is not of group {group}")
        self.raise_floor(token.position)


def _read_switch(name: str, value: str) -> bool:
    lowered = value.lower()
    if lowered in _TRUE:
        return True
    if lowered in _FALSE:
        return False
    raise CodedError(ResultCode.BAD_PARAMETER, f"{name} takes on or off")


def _read_lane(value: str) -> str:
    known = tuple(Lane)
    if value not in known:
        detail = f"lane takes one of {', '.join(known)}"
        raise CodedError(ResultCode.BAD_PARAMETER, detail)
    return Lane(value)


def _read_request_id(value: str) -> str:
    if len(value) > REQUEST_ID_LIMIT:
        raise CodedError(
            ResultCode.BAD_PARAMETER,
            f"request_id takes at most {REQUEST_ID_LIMIT} characters",
        )
    return value


def _read_age(value: str) -> timedelta | None:
    if not value:
        return None
    if not value.isascii() or not value.isdigit() or len(value) > 10:
        raise CodedError(
            ResultCode.BAD_PARAMETER, "max_age_ms takes whole milliseconds"
        )
    return timedelta(milliseconds=int(value))

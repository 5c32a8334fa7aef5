"""Turns a startup packet into a session's identity."""

import shlex
from dataclasses import dataclass

from pygwire.messages import StartupMessage

from ..configuration.configuration import Configuration
from ..configuration.route_spec import RouteSpec
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .declarations import PREFIX, READ_ONLY_PARAMETER, Declarations

_UTF8_NAMES = {"utf8", "utf-8", "unicode"}
# Parameters that have no effect on results or that drivers send by habit.
_WITHOUT_EFFECT = {"application_name", "extra_float_digits", "user", "database"}


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a session is.

    Attributes
    ----------
    user : str
        User that the caller gave.
    database : str
        Database name that the caller gave.
    application : str
        Application name that the caller gave.
    """

    user: str
    database: str
    application: str = ""

    @property
    def fairness_key(self) -> str:
        """Key by which callers share a queue evenly."""
        return f"{self.user}/{self.application}"


def identify(message: StartupMessage) -> Identity:
    """Read who a caller is.

    Raises
    ------
    CodedError
        MALFORMED_STARTUP if no user is named.
    """
    user = message.params.get("user", "")
    if not user:
        raise CodedError(ResultCode.MALFORMED_STARTUP, "no user name")
    database = message.params.get("database") or user
    return Identity(user, database, message.params.get("application_name", ""))


def find_route(identity: Identity, configuration: Configuration) -> RouteSpec:
    """Find the route of a caller.

    Raises
    ------
    CodedError
        UNKNOWN_DATABASE or ROUTE_REFUSED.
    """
    route = configuration.routes.get(identity.database)
    if route is None:
        raise CodedError(ResultCode.UNKNOWN_DATABASE, f"database {identity.database!r}")
    if route.users and identity.user not in route.users:
        raise CodedError(ResultCode.ROUTE_REFUSED, f"user {identity.user!r}")
    return route


def declare_at_startup(
    message: StartupMessage, declarations: Declarations, group: str
) -> None:
    """Take what the startup packet declares.

    Raises
    ------
    CodedError
        BAD_PARAMETER or BAD_TOKEN.
    """
    for name, value in _parameters(message):
        _apply(declarations, name.lower(), value, group)


def _parameters(message: StartupMessage) -> list[tuple[str, str]]:
    pairs = [(k, v) for k, v in message.params.items() if k != "options"]
    return pairs + _read_options(message.params.get("options", ""))


def _read_options(options: str) -> list[tuple[str, str]]:
    try:
        words = shlex.split(options)
    except ValueError as error:
        raise CodedError(ResultCode.BAD_PARAMETER, "options") from error
    pairs = []
    for word in words:
        name, equals, value = word.removeprefix("-c").removeprefix("--").partition("=")
        if equals:
            pairs.append((name, value))
        elif word != "-c":
            raise CodedError(ResultCode.BAD_PARAMETER, f"option {word!r}")
    return pairs


def _apply(declarations: Declarations, name: str, value: str, group: str) -> None:
    if name in _WITHOUT_EFFECT:
        return
    if name == "client_encoding":
        _require_utf8(value)
    elif name.startswith(PREFIX) or name == READ_ONLY_PARAMETER:
        declarations.apply(name, value, group)
    else:
        raise CodedError(ResultCode.BAD_PARAMETER, f"startup parameter {name}")


def _require_utf8(value: str) -> None:
    if value.strip("'\"").lower() not in _UTF8_NAMES:
        raise CodedError(ResultCode.BAD_PARAMETER, f"client_encoding {value}")

"""Reads a session's identity, route and declarations from its startup packet."""

import shlex
from dataclasses import dataclass

from pygwire.messages import StartupMessage

from ..configuration.configuration import Configuration
from ..configuration.route_spec import RouteSpec
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .declarations import PREFIX, READ_ONLY_PARAMETER, Declarations

_UTF8_NAMES = {"utf8", "utf-8", "unicode"}
# Parameters without effect on results, which drivers send by default, and those that
# ``read_identity`` reads.
_IGNORED_PARAMETERS = {"application_name", "extra_float_digits", "user", "database"}


@dataclass(frozen=True, slots=True)
class Identity:
    """User, database and application that a caller named at startup.

    Attributes
    ----------
    user : str
        User name.
    database : str
        Database name; the user name if the caller gave none.
    application : str
        Application name; empty if the caller gave none.
    """

    user: str
    database: str
    application: str = ""

    @property
    def fairness_key(self) -> str:
        """Key by which callers share a queue evenly."""
        return f"{self.user}/{self.application}"


def read_identity(message: StartupMessage) -> Identity:
    """Read the identity of a caller from its startup packet.

    Raises
    ------
    CodedError
        MALFORMED_STARTUP if the packet has no user name.
    """
    user = message.params.get("user", "")
    if not user:
        raise CodedError(ResultCode.MALFORMED_STARTUP, "no user name")
    database = message.params.get("database") or user
    return Identity(user, database, message.params.get("application_name", ""))


def find_route(identity: Identity, configuration: Configuration) -> RouteSpec:
    """Return the route that serves a caller.

    Raises
    ------
    CodedError
        UNKNOWN_DATABASE if no route has the database name, ROUTE_REFUSED if the
        route does not admit the user.
    """
    route = configuration.routes.get(identity.database)
    if route is None:
        raise CodedError(
            ResultCode.UNKNOWN_DATABASE, f"no route for database {identity.database!r}"
        )
    if route.users and identity.user not in route.users:
        raise CodedError(
            ResultCode.ROUTE_REFUSED,
            f"the route does not admit user {identity.user!r}",
        )
    return route


def apply_startup_parameters(
    message: StartupMessage, declarations: Declarations, group: str
) -> None:
    """Apply the parameters of a startup packet to the session's declarations.

    Raises
    ------
    CodedError
        BAD_PARAMETER or BAD_TOKEN.
    """
    for name, value in _list_parameters(message):
        _apply_parameter(declarations, name.lower(), value, group)


def _list_parameters(message: StartupMessage) -> list[tuple[str, str]]:
    pairs = [(k, v) for k, v in message.params.items() if k != "options"]
    return pairs + _parse_options(message.params.get("options", ""))


def _parse_options(options: str) -> list[tuple[str, str]]:
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
            raise CodedError(ResultCode.BAD_PARAMETER, f"unknown option {word!r}")
    return pairs


def _apply_parameter(
    declarations: Declarations, name: str, value: str, group: str
) -> None:
    if name in _IGNORED_PARAMETERS:
        return
    if name == "client_encoding":
        _require_utf8(value)
    elif name.startswith(PREFIX) or name == READ_ONLY_PARAMETER:
        declarations.apply(name, value, group)
    else:
        raise CodedError(ResultCode.BAD_PARAMETER, f"unknown startup parameter {name}")


def _require_utf8(value: str) -> None:
    if value.strip("'\"").lower() not in _UTF8_NAMES:
        raise CodedError(
            ResultCode.BAD_PARAMETER, f"client_encoding must be UTF8, not {value}"
        )

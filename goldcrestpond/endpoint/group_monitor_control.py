"""Control statements to the databases of a group over fresh connections."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.database_status import DatabaseStatus
from ..settings.address import Address
from .endpoint_connection import EndpointConnection
from .endpoint_refusal import EndpointRefusal
from .group_monitor_poller import OpenConnection
from .group_statements import TERM_REFUSED_SQLSTATE, fence, follow, promote, read_status
from .login import Login

CONTROL_LIMIT = timedelta(milliseconds=300)  # connect, log in and answer


class GroupControl:
    """Runs control statements, each over a connection of its own.

    An open connection may have gone silent; a fresh one tells at once whether
    the database can be reached.

    Parameters
    ----------
    addresses : dict of str to Address
        Databases by name.
    login : Login
        Credentials.
    open_connection : callable
        Opens a connection.
    """

    __slots__ = ("_addresses", "_login", "_open_connection")

    def __init__(
        self,
        addresses: dict[str, Address],
        login: Login,
        open_connection: OpenConnection,
    ):
        self._addresses = addresses
        self._login = login
        self._open_connection = open_connection

    async def status(self, database: str) -> DatabaseStatus:
        """Ask for the status."""
        return await self._run(database, read_status)

    async def fence(self, database: str, term: int, promoter: str) -> DatabaseStatus:
        """Fence a database."""
        return await self._run(database, lambda c: fence(c, term, promoter))

    async def promote(self, database: str, term: int, promoter: str) -> DatabaseStatus:
        """Promote a fenced database."""
        return await self._run(database, lambda c: promote(c, term, promoter))

    async def follow(self, database: str, term: int, primary: str) -> DatabaseStatus:
        """Make a database follow the primary of a term."""
        address = self._addresses[primary]
        return await self._run(database, lambda c: follow(c, term, address))

    async def _run(
        self,
        database: str,
        ask: Callable[[EndpointConnection], Awaitable[DatabaseStatus]],
    ) -> DatabaseStatus:
        """Run one statement.

        Raises
        ------
        CodedError
            ENDPOINT_UNREACHABLE if no answer came in time; the statement may
            have taken effect, or may later. EndpointRefusal if refused.
        """
        try:
            with anyio.fail_after(CONTROL_LIMIT.total_seconds()):
                connection = await self._open_connection(
                    self._addresses[database], self._login
                )
                try:
                    return await ask(connection)
                finally:
                    await connection.aclose()
        except TimeoutError as error:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, database) from error


def is_term_refusal(error: CodedError) -> bool:
    """Return whether a database refused because of the term that it joined."""
    is_refusal = isinstance(error, EndpointRefusal)
    return is_refusal and error.sqlstate == TERM_REFUSED_SQLSTATE

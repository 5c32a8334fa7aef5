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
    """Runs control statements over connections of one promotion.

    An open connection may have gone silent; a fresh one tells at once whether
    the database can be reached. So each promotion opens its own, uses them for
    all its steps, and its keeper closes them at the end.

    Parameters
    ----------
    addresses : dict of str to Address
        Databases by name.
    login : Login
        Credentials.
    open_connection : callable
        Opens a connection.
    """

    __slots__ = ("_addresses", "_idle", "_login", "_open_connection")

    def __init__(
        self,
        addresses: dict[str, Address],
        login: Login,
        open_connection: OpenConnection,
    ):
        self._addresses = addresses
        self._login = login
        self._open_connection = open_connection
        self._idle: dict[str, EndpointConnection] = {}

    async def aclose(self) -> None:
        """Close the connections; later statements open others."""
        while self._idle:
            _, connection = self._idle.popitem()
            await connection.aclose()

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
                return await self._ask(database, ask)
        except TimeoutError as error:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, database) from error

    async def _ask(
        self,
        database: str,
        ask: Callable[[EndpointConnection], Awaitable[DatabaseStatus]],
    ) -> DatabaseStatus:
        connection = self._idle.pop(database, None)
        if connection is None:
            address = self._addresses[database]
            connection = await self._open_connection(address, self._login)
        try:
            status = await ask(connection)
        except BaseException:
            await connection.aclose()
            raise
        replaced = self._idle.pop(database, None)
        self._idle[database] = connection
        if replaced is not None:
            await replaced.aclose()
        return status


def is_term_refusal(error: CodedError) -> bool:
    """Return whether a database refused because of the term that it joined."""
    is_refusal = isinstance(error, EndpointRefusal)
    return is_refusal and error.sqlstate == TERM_REFUSED_SQLSTATE

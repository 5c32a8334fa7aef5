"""Sends control statements to the databases of a group over fresh connections."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.database_status import DatabaseStatus
from ..settings.address import Address
from .endpoint_connection import EndpointConnection
from .endpoint_refusal import EndpointRefusal
from .group_monitor_poller import ConnectionOpener
from .group_statements import TERM_REFUSED_SQLSTATE, fence, follow, promote, read_status
from .login import Login

CONTROL_TIMEOUT = timedelta(milliseconds=300)  # connect, log in and answer


class GroupControl:
    """Runs the control statements of one promotion at a time.

    An open connection may have lost its peer unnoticed; opening one shows at once
    whether the database can be reached. So each promotion opens new connections and
    uses them for all its steps; ``GroupReconciler`` closes them after it.

    Parameters
    ----------
    addresses : dict of str to Address
        Address of each database, by name.
    login : Login
        Credentials.
    open_connection : callable
        Opens a connection: ``await open_connection(address, login)``.
    """

    __slots__ = ("_addresses", "_idle", "_login", "_open_connection")

    def __init__(
        self,
        addresses: dict[str, Address],
        login: Login,
        open_connection: ConnectionOpener,
    ):
        self._addresses = addresses
        self._login = login
        self._open_connection = open_connection
        self._idle: dict[str, EndpointConnection] = {}

    async def aclose(self) -> None:
        """Close the connections; later statements open new ones."""
        while self._idle:
            _, connection = self._idle.popitem()
            await connection.aclose()

    async def status(self, database: str) -> DatabaseStatus:
        """Return the status of a database."""
        return await self._run_with_timeout(database, read_status)

    async def fence(self, database: str, term: int, promoter: str) -> DatabaseStatus:
        """Fence a database: it joins the term and accepts no writes of earlier ones."""
        return await self._run_with_timeout(
            database, lambda connection: fence(connection, term, promoter)
        )

    async def promote(self, database: str, term: int, promoter: str) -> DatabaseStatus:
        """Promote a fenced database."""
        return await self._run_with_timeout(
            database, lambda connection: promote(connection, term, promoter)
        )

    async def follow(self, database: str, term: int, primary: str) -> DatabaseStatus:
        """Make a database follow the primary of a term."""
        address = self._addresses[primary]
        return await self._run_with_timeout(
            database, lambda connection: follow(connection, term, address)
        )

    async def _run_with_timeout(
        self,
        database: str,
        run_statement: Callable[[EndpointConnection], Awaitable[DatabaseStatus]],
    ) -> DatabaseStatus:
        """Run one statement within ``CONTROL_TIMEOUT``.

        Raises
        ------
        CodedError
            ENDPOINT_UNREACHABLE if no answer came in time; the statement may
            have taken effect, or may do so later.
        EndpointRefusal
            If the database refused the statement.
        """
        try:
            with anyio.fail_after(CONTROL_TIMEOUT.total_seconds()):
                return await self._run(database, run_statement)
        except TimeoutError as error:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, database) from error

    async def _run(
        self,
        database: str,
        run_statement: Callable[[EndpointConnection], Awaitable[DatabaseStatus]],
    ) -> DatabaseStatus:
        connection = self._idle.pop(database, None)
        if connection is None:
            address = self._addresses[database]
            connection = await self._open_connection(address, self._login)
        try:
            status = await run_statement(connection)
        except BaseException:
            await connection.aclose()
            raise
        other_connection = self._idle.pop(database, None)
        self._idle[database] = connection
        if other_connection is not None:
            await other_connection.aclose()
        return status


def is_term_refusal(error: CodedError) -> bool:
    """Return whether a database refused because it has joined a conflicting term."""
    is_refusal = isinstance(error, EndpointRefusal)
    return is_refusal and error.sqlstate == TERM_REFUSED_SQLSTATE

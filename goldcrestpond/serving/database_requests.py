"""Sends control statements to the databases of a service and collects their reports."""

from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..errors.coded_error import CodedError
from .database import Database
from .database_report import DatabaseReport
from .decision_log import DecisionLog
from .link import Link

REQUEST_TIMEOUT_S = 0.3  # a report takes a round trip and briefly uses a slot

OpenLink = Callable[[Database], Awaitable[Link]]
Request = Callable[[Link], Awaitable[DatabaseReport]]


class DatabaseRequests:
    """Control statements to several databases at once, over connections of their own.

    Parameters
    ----------
    open_link : callable
        Opens a connection.
    log : DecisionLog
        Receives log events.
    """

    __slots__ = ("_links", "_log", "_open_link")

    def __init__(self, open_link: OpenLink, log: DecisionLog):
        self._open_link = open_link
        self._log = log
        self._links: dict[str, Link] = {}

    async def send(
        self, databases: Iterable[Database], request: Request
    ) -> dict[str, DatabaseReport]:
        """Send a statement to each database.

        Returns
        -------
        dict of str to DatabaseReport
            The reports by database id; those that did not answer are missing.
        """
        reports: dict[str, DatabaseReport] = {}

        async def request_report(database: Database) -> None:
            database_id = database.database_id
            try:
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    reports[database_id] = await request(await self._link_to(database))
            except (CodedError, TimeoutError) as error:
                await self._drop_link(database_id)
                self._log.decision(
                    "database not read",
                    service=database.service,
                    database=database_id,
                    detail=str(error) or "no answer",
                )

        async with anyio.create_task_group() as tasks:
            for database in databases:
                tasks.start_soon(request_report, database)
        return reports

    async def aclose(self) -> None:
        """Close the connections."""
        for database_id in list(self._links):
            await self._drop_link(database_id)

    async def _link_to(self, database: Database) -> Link:
        link = self._links.get(database.database_id)
        if link is None:
            link = await self._open_link(database)
            self._links[database.database_id] = link
        return link

    async def _drop_link(self, database_id: str) -> None:
        link = self._links.pop(database_id, None)
        if link is not None:
            await link.aclose()


async def report(link: Link) -> DatabaseReport:
    """Ask a database for its report."""
    return await link.report()


async def resume_replication(link: Link) -> DatabaseReport:
    """Let a replica receive again."""
    return await link.resume_replication()


def pause_until(term: int) -> Request:
    """Return the request that stops a replica from receiving until a term begins."""

    async def pause_replication(link: Link) -> DatabaseReport:
        return await link.pause_replication(term)

    return pause_replication

"""A pool that uses the connections of this instance or those of holders."""

from collections.abc import Callable
from datetime import timedelta

from ..endpoint.connection_pool import ConnectionPool
from ..pool.lane import Lane
from ..pool.requester import Requester
from ..routing.database_load import DatabaseLoad
from ..serving.link import Link
from .organisation_pool import OrganisationPool
from .relay_pool import RelayPool
from .remote_link import RemoteLink


class SwitchedPool:
    """Uses own connections while this instance holds the service, else holders'.

    A link is returned to the pool that it came from, also after a switch.

    Parameters
    ----------
    local_pool : ConnectionPool
        Pool of this instance's connections.
    relay_pool : RelayPool
        Pool that checks out connections of holders.
    is_holder : callable
        Returns whether this instance holds the service now.
    organisation_pool : OrganisationPool
        Pool for requests that name an organisation.
    """

    __slots__ = ("_is_holder", "_local_pool", "_organisation_pool", "_relay_pool")

    def __init__(
        self,
        local_pool: ConnectionPool,
        relay_pool: RelayPool,
        is_holder: Callable[[], bool],
        organisation_pool: OrganisationPool,
    ):
        self._local_pool = local_pool
        self._relay_pool = relay_pool
        self._is_holder = is_holder
        self._organisation_pool = organisation_pool

    @property
    def local_pool(self) -> ConnectionPool:
        """Pool of this instance's connections."""
        return self._local_pool

    @property
    def open_count(self) -> int:
        """Connections of this instance that may be open."""
        return self._local_pool.open_count

    @property
    def running_count(self) -> int:
        """Connections in use, this instance's and those of holders."""
        return self._local_pool.running_count + self._relay_pool.running_count

    @property
    def demand(self) -> int:
        """Connections that the current work could use."""
        return self._local_pool.demand + self._relay_pool.demand

    def load(self, slots: int, organisation: str = "") -> DatabaseLoad:
        """Return the load that this instance puts on the database.

        That of its own connections only if requests of the organisation use them: what
        is elsewhere changes nothing about their pace.
        """
        if self._is_local(organisation):
            return self._local_pool.load(slots, organisation)
        return self._relay_pool.load(slots)

    def service_time(self, organisation: str = "") -> timedelta:
        """Return how long statements of an organisation usually take."""
        pool = self._local_pool if self._is_local(organisation) else self._relay_pool
        return pool.service_time

    def _is_local(self, organisation: str) -> bool:
        if organisation:
            return self._organisation_pool.is_home(organisation)
        return self._is_holder()

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Check out a connection; for an organisation, at its home."""
        if requester.organisation:
            return await self._organisation_pool.acquire(
                term, deadline, requester, lane, priority
            )
        pool = self._local_pool if self._is_holder() else self._relay_pool
        return await pool.acquire(term, deadline, requester, lane, priority)

    async def lend(
        self,
        is_charged: bool,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Check out a connection for another instance's request.

        Parameters
        ----------
        is_charged : bool
            Whether the other instance has the organisation's home charge it.
        deadline, requester, lane, priority
            See `ConnectionPool.acquire`.
        """
        if requester.organisation:
            return await self._organisation_pool.lend(
                is_charged, deadline, requester, lane, priority
            )
        return await self.acquire(0, deadline, requester, lane, priority)

    def adopt(self, link: RemoteLink) -> None:
        """Count a connection of a holder that was checked out with a statement."""
        self._relay_pool.adopt(link)

    def release(self, link: Link) -> None:
        """Return a connection."""
        self._pool_of(link).release(link)

    def suspend(self, link: Link) -> None:
        """Free the slot while an open transaction waits for its caller."""
        self._pool_of(link).suspend(link)

    def resume(self, link: Link) -> None:
        """Record that an open transaction runs a further statement."""
        self._pool_of(link).resume(link)

    def record_refusal(self, link: Link) -> None:
        """Record that the database refused or failed the running statement."""
        if not isinstance(link, RemoteLink):  # the holder itself sees the others
            self._local_pool.record_refusal(link)

    def set_limits(self, share: int, slot_limit: int, report_slot_limit: int) -> None:
        """Set the limits of this instance's connections."""
        self._local_pool.set_limits(share, slot_limit, report_slot_limit)

    def start_draining(self) -> None:
        """Refuse new work; running work may finish."""
        self._local_pool.start_draining()

    def close_all(self, reason: str) -> None:
        """Close own connections and mark those of holders broken."""
        self._local_pool.close_all(reason)
        self._relay_pool.close_all(reason)

    async def aclose(self) -> None:
        """Close idle connections; running work may finish."""
        await self._local_pool.aclose()

    async def run(self) -> None:
        """Check timeouts and deadlines of this instance's pool until closed."""
        await self._local_pool.run()

    def _pool_of(self, link: Link) -> ConnectionPool | RelayPool:
        return self._relay_pool if isinstance(link, RemoteLink) else self._local_pool

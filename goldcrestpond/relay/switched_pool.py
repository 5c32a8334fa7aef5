"""A pool that lends own connections, or those of holders (shell)."""

from collections.abc import Callable
from datetime import timedelta

from ..endpoint.connection_pool import ConnectionPool
from ..pool.lane import Lane
from ..routing.database_load import DatabaseLoad
from ..serving.link import Link
from .relay_pool import RelayPool
from .remote_link import RemoteLink


class SwitchedPool:
    """Own connections while this instance holds the service, else borrowed ones.

    A link goes back to where it came from, also after a change.

    Parameters
    ----------
    own : ConnectionPool
        Connections of this instance.
    borrowed : RelayPool
        Connections of holders.
    is_holder : callable
        Whether this instance holds the service now.
    """

    __slots__ = ("_borrowed", "_is_holder", "_own")

    def __init__(
        self,
        own: ConnectionPool,
        borrowed: RelayPool,
        is_holder: Callable[[], bool],
    ):
        self._own = own
        self._borrowed = borrowed
        self._is_holder = is_holder

    @property
    def open_count(self) -> int:
        """Own connections that may be open."""
        return self._own.open_count

    @property
    def running_count(self) -> int:
        """Connections in use, own and borrowed."""
        return self._own.running_count + self._borrowed.running_count

    @property
    def demand(self) -> int:
        """Connections that the present work could use."""
        return self._own.demand + self._borrowed.demand

    def load(self, slots: int) -> DatabaseLoad:
        """Return how busy this instance keeps the database."""
        pool = self._own if self._is_holder() else self._borrowed
        return pool.load(slots)

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        caller: str,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Lend a connection."""
        pool = self._own if self._is_holder() else self._borrowed
        return await pool.acquire(term, deadline, caller, lane, priority)

    def release(self, link: Link) -> None:
        """Take a connection back."""
        self._origin(link).release(link)

    def suspend(self, link: Link) -> None:
        """Free the slot while an open transaction waits for its caller."""
        self._origin(link).suspend(link)

    def resume(self, link: Link) -> None:
        """Note that an open transaction runs a further statement."""
        self._origin(link).resume(link)

    def set_limits(self, share: int, slot_limit: int, report_slot_limit: int) -> None:
        """Take newly granted limits of own connections."""
        self._own.set_limits(share, slot_limit, report_slot_limit)

    def start_draining(self) -> None:
        """Refuse new work; what runs may end."""
        self._own.start_draining()

    def close_all(self, reason: str) -> None:
        """Close or break off every connection."""
        self._own.close_all(reason)
        self._borrowed.close_all(reason)

    async def aclose(self) -> None:
        """Close what is idle; what runs may end."""
        await self._own.aclose()

    async def run(self) -> None:
        """Judge silence, idleness and deadlines until closed."""
        await self._own.run()

    def _origin(self, link: Link) -> ConnectionPool | RelayPool:
        return self._borrowed if isinstance(link, RemoteLink) else self._own

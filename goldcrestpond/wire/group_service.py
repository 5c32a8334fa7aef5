"""Checks out connections to the databases of one group."""

from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

from ..clock.clock import Clock
from ..endpoint.connection_pool import ConnectionPool
from ..endpoint.group_monitor import GroupMonitor
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..pool.requester import Requester
from ..routing.replica_choice import ReplicaChoice
from ..settings.address import Address
from ..term.primary_view import PrimaryView
from ..term.replaced_primary import ReplacedPrimary
from .checkout import Checkout
from .declarations import Declarations

WaitConfiguration = Callable[[timedelta], Awaitable[object]]
PoolFactory = Callable[[str, Address], ConnectionPool]


class GroupService:
    """Service by which sessions use the databases of one group.

    Parameters
    ----------
    name : str
        Name of the group.
    monitor : GroupMonitor
        Monitor that tracks the group's term, log positions and primary.
    make_pool : callable
        Makes the pool of a database from its name and address.
    wait_configuration : callable
        Waits until the configuration may be served. It usually returns at once;
        after a pause of the process, the configuration table or a peer must
        first confirm the configuration.
    clock : Clock
        Monotonic clock.
    """

    __slots__ = (
        "_clock",
        "_make_pool",
        "_pools",
        "_term",
        "_wait_configuration",
        "monitor",
        "name",
    )

    def __init__(
        self,
        name: str,
        monitor: GroupMonitor,
        make_pool: PoolFactory,
        wait_configuration: WaitConfiguration,
        clock: Clock,
    ):
        self.name = name
        self.monitor = monitor
        self._make_pool = make_pool
        self._wait_configuration = wait_configuration
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._term = 0
        monitor.on_replaced = self._mark_replaced

    async def ensure_min_position(
        self, declarations: Declarations, deadline: timedelta
    ) -> None:
        """Set the minimum position of a session that has none.

        It becomes a position of the primary that is sampled after this call.
        """
        if declarations.min_position is None:
            declarations.raise_min_position(
                await self.monitor.sample_min_position(deadline)
            )

    async def acquire_primary(
        self,
        declarations: Declarations,
        caller: str,
        deadline: timedelta,
        min_term: int = 0,
    ) -> Checkout:
        """Check out a connection to the primary.

        Parameters
        ----------
        declarations : Declarations
            The session's declarations.
        caller : str
            Key by which callers share the queue evenly.
        deadline : timedelta
            Monotonic time after which the wait ends.
        min_term : int, default=0
            Least term of the primary.

        Raises
        ------
        CodedError
            With a code that says that the request was not run.
        """
        await self._wait_configuration(deadline)
        lane = Lane(declarations.lane)
        if declarations.min_position is not None:
            min_term = max(min_term, declarations.min_position.term)
        while True:
            primary = await self.monitor.wait_primary(deadline)
            if primary.term < min_term:
                await self._wait_next_primary(primary.term, deadline)
                continue
            checkout = await self._check_out(primary, caller, lane, deadline)
            if checkout is not None:
                return checkout

    async def acquire_reader(
        self, declarations: Declarations, caller: str, deadline: timedelta
    ) -> Checkout:
        """Check out a connection for reads, to a replica if one is fresh enough.

        Parameters
        ----------
        declarations : Declarations
            The session's declarations.
        caller : str
            Key by which callers share the queue evenly.
        deadline : timedelta
            Monotonic time after which the wait ends.

        Raises
        ------
        CodedError
            With a code that says that the request was not run.
        """
        await self._wait_configuration(deadline)
        while True:
            choice = await self.monitor.wait_replica(
                declarations.min_position, declarations.max_age, deadline
            )
            if choice is None:
                return await self._acquire_verified(declarations, caller, deadline)
            lane = _select_read_lane(declarations)
            checkout = await self._check_out(choice, caller, lane, deadline)
            if checkout is not None:
                return checkout

    async def _check_out(
        self,
        chosen: PrimaryView | ReplicaChoice,
        caller: str,
        lane: Lane,
        deadline: timedelta,
    ) -> Checkout | None:
        """Check out a connection to a chosen database.

        Returns
        -------
        Checkout or None
            None if the database could not be used and another may be chosen.
        """
        pool = self._find_or_make_pool(chosen.database, chosen.address, chosen.term)
        try:
            connection = await pool.acquire(
                chosen.term, deadline, Requester(caller), lane
            )
        except CodedError as error:
            await self._report_and_wait(chosen.database, error, deadline)
            return None
        is_primary = isinstance(chosen, PrimaryView)
        return Checkout(connection, pool, chosen.database, chosen.term, is_primary)

    async def _acquire_verified(
        self, declarations: Declarations, caller: str, deadline: timedelta
    ) -> Checkout:
        """Check out a connection to the primary for a read.

        A session without a minimum position has declared a greatest age. Only a
        primary that a majority confirms now is certain to meet it.
        """
        min_term = 0
        if declarations.min_position is None:
            min_term = (await self.monitor.sample_min_position(deadline)).term
        return await self.acquire_primary(declarations, caller, deadline, min_term)

    def add_database(self, database: str, address: Address) -> None:
        """Make the pool of a database ahead of its first use."""
        self._find_or_make_pool(database, address, self._term)

    def find_pool(self, database: str) -> ConnectionPool | None:
        """Return the pool of a database, or None if there is none."""
        return self._pools.get(database)

    def databases(self) -> list[str]:
        """Return the names of the databases that have a pool."""
        return list(self._pools)

    @property
    def running_count(self) -> int:
        """Number of connections that serve a request now."""
        return sum(pool.running_count for pool in self._pools.values())

    def remove_pools(self, databases: Collection[str]) -> dict[str, ConnectionPool]:
        """Remove and return the pools of some databases, for the next service."""
        return {
            name: self._pools.pop(name) for name in databases if name in self._pools
        }

    def add_pool(self, database: str, pool: ConnectionPool) -> None:
        """Add the pool of a database that the group's previous service had."""
        self._pools[database] = pool
        pool.set_term(self._term)

    async def aclose(self) -> None:
        """Close all connections that are not checked out."""
        for pool in list(self._pools.values()):
            await pool.aclose()

    async def report_primary_replaced(self, database: str, deadline: timedelta) -> None:
        """Report that a database refused a write; wait until the group changes."""
        error = CodedError(ResultCode.PRIMARY_REPLACED, database)
        self.monitor.report_failure(database, error)
        await self.monitor.wait_change(deadline)

    async def _wait_next_primary(self, term: int, deadline: timedelta) -> None:
        """Wait for a change in the group; raise NO_PRIMARY after the deadline."""
        if self._clock.now() >= deadline:
            raise CodedError(
                ResultCode.NO_PRIMARY,
                f"the only known primary is that of term {term}",
            )
        await self.monitor.wait_change(deadline)

    async def _report_and_wait(
        self, database: str, error: CodedError, deadline: timedelta
    ) -> None:
        """Report an unreachable database and wait for a change in the group.

        Raises ``error`` after the deadline, and at once if another database would
        not help.
        """
        if error.code is ResultCode.ENDPOINT_UNREACHABLE:
            self.monitor.report_failure(database, error)
        elif error.code is not ResultCode.ENDPOINT_LEAVING:
            raise error
        if self._clock.now() >= deadline:
            raise error
        await self.monitor.wait_change(deadline)

    def _find_or_make_pool(
        self, database: str, address: Address, term: int
    ) -> ConnectionPool:
        self._raise_term(term)
        pool = self._pools.get(database)
        if pool is None:
            pool = self._make_pool(database, address)
            self._pools[database] = pool
        return pool

    def _mark_replaced(self, replaced: ReplacedPrimary) -> None:
        pool = self._pools.get(replaced.database)
        if pool is not None:
            pool.mark_replaced(replaced.term, replaced.is_answering)

    def _raise_term(self, term: int) -> None:
        if term <= self._term:
            return
        self._term = term
        for pool in self._pools.values():
            pool.set_term(term)


def _select_read_lane(declarations: Declarations) -> Lane:
    """Return the lane of a read; short reads that accept old data use AGED."""
    if declarations.lane == Lane.SHORT and declarations.max_age is not None:
        return Lane.AGED
    return Lane(declarations.lane)

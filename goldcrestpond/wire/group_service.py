"""Finds connections to the databases of one group."""

from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

from ..clock.clock import Clock
from ..endpoint.connection_pool import ConnectionPool
from ..endpoint.group_monitor import GroupMonitor
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..routing.replica_choice import ReplicaChoice
from ..settings.address import Address
from ..term.primary_view import PrimaryView
from ..term.replaced_primary import ReplacedPrimary
from .checkout import Checkout
from .declarations import Declarations

WaitConfiguration = Callable[[timedelta], Awaitable[object]]
PoolFactory = Callable[[str, Address], ConnectionPool]


class GroupService:
    """One group as sessions see it.

    Parameters
    ----------
    name : str
        Name of the group.
    monitor : GroupMonitor
        Knows terms, positions and the primary.
    make_pool : callable
        Makes the pool of a database from its name and address.
    wait_configuration : callable
        Returns once the configuration may be served, at once as a rule; after
        a pause of the process the table or a peer confirms it first.
    clock : Clock
        Source of monotonic readings.
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
        monitor.on_replaced = self._drop_replaced

    async def ensure_floor(
        self, declarations: Declarations, deadline: timedelta
    ) -> None:
        """Give a session without a floor one sampled after its opening."""
        if declarations.min_position is None:
            declarations.raise_floor(await self.monitor.sample_min_position(deadline))

    async def acquire_primary(
        self,
        declarations: Declarations,
        caller: str,
        deadline: timedelta,
        least_term: int = 0,
    ) -> Checkout:
        """Lend a connection to the primary.

        Parameters
        ----------
        declarations : Declarations
            What the session declares.
        caller : str
            Key of fairness between callers.
        deadline : timedelta
            Monotonic reading at which to give up.
        least_term : int, default=0
            A primary of a lower term is not used.

        Raises
        ------
        CodedError
            With a code that says "not run".
        """
        await self._wait_configuration(deadline)
        lane = Lane(declarations.lane)
        if declarations.min_position is not None:
            least_term = max(least_term, declarations.min_position.term)
        while True:
            primary = await self.monitor.wait_primary(deadline)
            if primary.term < least_term:
                await self._wait_next_primary(primary.term, deadline)
                continue
            checkout = await self._lend(primary, caller, lane, deadline)
            if checkout is not None:
                return checkout

    async def acquire_reader(
        self, declarations: Declarations, caller: str, deadline: timedelta
    ) -> Checkout:
        """Lend a connection for reads, to a replica if one is fresh enough.

        Parameters
        ----------
        declarations : Declarations
            What the session declares.
        caller : str
            Key of fairness between callers.
        deadline : timedelta
            Monotonic reading at which to give up.

        Raises
        ------
        CodedError
            With a code that says "not run".
        """
        await self._wait_configuration(deadline)
        while True:
            choice = await self.monitor.wait_replica(
                declarations.min_position, declarations.max_age, deadline
            )
            if choice is None:
                return await self._acquire_verified(declarations, caller, deadline)
            lane = _read_lane(declarations)
            checkout = await self._lend(choice, caller, lane, deadline)
            if checkout is not None:
                return checkout

    async def _lend(
        self,
        chosen: PrimaryView | ReplicaChoice,
        caller: str,
        lane: Lane,
        deadline: timedelta,
    ) -> Checkout | None:
        """Lend a connection to a database; None if another choice may do better."""
        pool = self._pool(chosen.database, chosen.address, chosen.term)
        try:
            connection = await pool.acquire(chosen.term, deadline, caller, lane)
        except CodedError as error:
            await self._after_failure(chosen.database, error, deadline)
            return None
        is_primary = isinstance(chosen, PrimaryView)
        return Checkout(connection, pool, chosen.database, chosen.term, is_primary)

    async def _acquire_verified(
        self, declarations: Declarations, caller: str, deadline: timedelta
    ) -> Checkout:
        """Lend a connection to the primary for a read.

        A session without a floor states an age, which only a primary that a
        majority vouches for now is sure to meet.
        """
        floor_term = 0
        if declarations.min_position is None:
            floor_term = (await self.monitor.sample_min_position(deadline)).term
        return await self.acquire_primary(declarations, caller, deadline, floor_term)

    def add_database(self, database: str, address: Address) -> None:
        """Make the pool of a database before its first use."""
        self._pool(database, address, self._term)

    def find_pool(self, database: str) -> ConnectionPool | None:
        """Return the pool of a database."""
        return self._pools.get(database)

    def databases(self) -> list[str]:
        """Return the databases that have a pool."""
        return list(self._pools)

    @property
    def running_count(self) -> int:
        """Number of connections that serve a request now."""
        return sum(pool.running_count for pool in self._pools.values())

    def remove_pools(self, databases: Collection[str]) -> dict[str, ConnectionPool]:
        """Give away the pools of some databases to a successor."""
        return {
            name: self._pools.pop(name) for name in databases if name in self._pools
        }

    def add_pool(self, database: str, pool: ConnectionPool) -> None:
        """Take the pool of a database from a predecessor."""
        self._pools[database] = pool
        pool.set_term(self._term)

    async def aclose(self) -> None:
        """Close all connections that no session holds."""
        for pool in self._pools.values():
            await pool.aclose()

    async def report_replaced(self, database: str, deadline: timedelta) -> None:
        """Take in that a database refused to write, and wait for news of it."""
        error = CodedError(ResultCode.PRIMARY_REPLACED, database)
        self.monitor.report_failure(database, error)
        await self.monitor.wait_change(deadline)

    async def _wait_next_primary(self, term: int, deadline: timedelta) -> None:
        if self._clock.now() >= deadline:
            raise CodedError(ResultCode.NO_PRIMARY, f"only that of term {term}")
        await self.monitor.wait_change(deadline)

    async def _after_failure(
        self, database: str, error: CodedError, deadline: timedelta
    ) -> None:
        if error.code is ResultCode.ENDPOINT_UNREACHABLE:
            self.monitor.report_failure(database, error)
        elif error.code is not ResultCode.ENDPOINT_LEAVING:
            raise error
        if self._clock.now() >= deadline:
            raise error
        await self.monitor.wait_change(deadline)

    def _pool(self, database: str, address: Address, term: int) -> ConnectionPool:
        self._raise_term(term)
        pool = self._pools.get(database)
        if pool is None:
            pool = self._make_pool(database, address)
            self._pools[database] = pool
        return pool

    def _drop_replaced(self, replaced: ReplacedPrimary) -> None:
        pool = self._pools.get(replaced.database)
        if pool is not None:
            pool.mark_replaced(replaced.term, replaced.is_answering)

    def _raise_term(self, term: int) -> None:
        if term <= self._term:
            return
        self._term = term
        for pool in self._pools.values():
            pool.set_term(term)


def _read_lane(declarations: Declarations) -> Lane:
    if declarations.lane == Lane.SHORT and declarations.max_age is not None:
        return Lane.AGED
    return Lane(declarations.lane)

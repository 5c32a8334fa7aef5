"""Carries out the decisions of one database's pool (shell)."""

import itertools
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.check_connection import CheckConnection
from ..pool.close_connection import CloseConnection
from ..pool.database_pool import DatabasePool
from ..pool.grant_connection import GrantConnection
from ..pool.lane import Lane
from ..pool.open_connection import OpenConnection
from ..pool.pool_action import PoolAction
from ..pool.probe_endpoint import ProbeEndpoint
from ..pool.refuse_request import RefuseRequest
from ..pool.slot_request import SlotRequest
from ..routing.database_load import DatabaseLoad
from .pooled_link import PooledLink

OpenLink = Callable[[], Awaitable[PooledLink]]
AskAfter = Callable[[PooledLink], Awaitable[bool | None]]
# Silence and idleness are judged to within this time while requests run.
_TICK = timedelta(milliseconds=100)
_IDLE_TICK = timedelta(seconds=5)
_CLOSE_TICK_S = 0.005  # closing takes a few round trips on one machine
_PROBE_TIMEOUT_S = 2  # an endpoint that works answers well within it
_log = logging.getLogger("goldcrestpond.endpoint")


@dataclass(slots=True, eq=False)
class _Waiter:
    """A caller of ``acquire`` and what it is given."""

    request: SlotRequest
    done: anyio.Event
    connection: PooledLink | None = None
    refusal: RefuseRequest | None = None


class ConnectionPool:
    """Connections to one database, lent one transaction at a time.

    Parameters
    ----------
    name : str
        Name of the database, for logs.
    decisions : DatabasePool
        Decides what is opened, lent, refused and closed.
    open_connection : callable
        Opens one connection within a bounded time.
    clock : Clock
        Source of monotonic readings.
    tasks : TaskGroup
        Runs opens, checks, probes and closes.
    ask_after : callable
        Asks the database over a new connection whether the statement of a silent
        one still runs; returns None if it cannot say.
    """

    __slots__ = (
        "_ask_after",
        "_clock",
        "_connections",
        "_decisions",
        "_is_closed",
        "_name",
        "_open_connection",
        "_open_failure",
        "_opening",
        "_request_ids",
        "_tasks",
        "_term",
        "_waiters",
        "_wake",
    )

    def __init__(
        self,
        name: str,
        decisions: DatabasePool,
        open_connection: OpenLink,
        clock: Clock,
        tasks: TaskGroup,
        ask_after: AskAfter,
    ):
        self._ask_after = ask_after
        self._name = name
        self._decisions = decisions
        self._open_connection = open_connection
        self._clock = clock
        self._tasks = tasks
        self._connections: dict[int, PooledLink] = {}
        self._opening: dict[int, anyio.CancelScope] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._request_ids = itertools.count(1)
        self._open_failure = ""
        self._term = 0
        self._wake = anyio.Event()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Connections that may be open."""
        return self._decisions.open_count

    @property
    def running_count(self) -> int:
        """Connections on loan."""
        return self._decisions.running_count

    @property
    def demand(self) -> int:
        """Connections that the present work could use."""
        return self._decisions.demand

    def load(self, slots: int) -> DatabaseLoad:
        """Return how busy this instance keeps the database.

        Parameters
        ----------
        slots : int
            Slots of the database, whoever uses them.
        """
        return self._decisions.load(slots)

    async def run(self) -> None:
        """Judge silence, idleness and deadlines until closed."""
        while not self._is_closed:
            pause = _TICK if self._decisions.demand else _IDLE_TICK
            with anyio.move_on_after(pause.total_seconds()):
                await self._wake.wait()
            self._wake = anyio.Event()
            self._note_progress()
            self._apply(self._decisions.tick(self._clock.now()))

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        caller: str,
        lane: Lane,
        priority: int = 0,
    ) -> PooledLink:
        """Lend a connection.

        Parameters
        ----------
        term : int
            Term of the group as the caller of this method knows it.
        deadline : timedelta
            Monotonic reading at which to give up.
        caller : str
            Key of fairness between callers.
        lane : Lane
            Class of work.
        priority : int, default=0
            Within the lane, lower ones go first.

        Raises
        ------
        CodedError
            QUEUE_DEADLINE, OVERLOADED, ENDPOINT_LEAVING or
            ENDPOINT_UNREACHABLE; nothing was sent.
        """
        self.set_term(term)
        if not self._decisions.demand:
            self._wake.set()
        request = SlotRequest(next(self._request_ids), caller, lane, deadline, priority)
        waiter = _Waiter(request, anyio.Event())
        self._waiters[request.request_id] = waiter
        now = self._clock.now()
        self._apply(self._decisions.request(request, now))
        if waiter.done.is_set():
            return self._result(waiter)
        try:
            await self._wait(waiter, deadline - now)
        except BaseException:
            self._abandon(waiter)
            raise
        return self._result(waiter)

    def release(self, connection: PooledLink) -> None:
        """Take a connection back; one that is broken is closed."""
        now = self._clock.now()
        reusable = not connection.is_broken
        self._apply(
            self._decisions.release(connection.pool_connection_id, reusable, now)
        )

    def suspend(self, connection: PooledLink) -> None:
        """Free the slot while an open transaction waits for its caller."""
        self._apply(
            self._decisions.suspend(connection.pool_connection_id, self._clock.now())
        )

    def resume(self, connection: PooledLink) -> None:
        """Note that an open transaction runs a further statement."""
        self._decisions.resume(connection.pool_connection_id, self._clock.now())
        self._wake.set()

    def set_term(self, term: int) -> None:
        """Retire connections that were opened under an earlier term."""
        if term > self._term:
            self._term = term
            self._apply(self._decisions.set_term(term, self._clock.now()))

    def mark_replaced(self, term: int, is_answering: bool) -> None:
        """Take no more work: the database is the primary no longer."""
        self._term = max(self._term, term)
        self._open_failure = "the primary was replaced"
        if not is_answering:
            for connection in self._connections.values():
                connection.is_broken = True  # a session may be sending on it
        now = self._clock.now()
        self._apply(self._decisions.mark_replaced(term, is_answering, now))

    @property
    def report_demand(self) -> int:
        """Reports that run or wait."""
        return self._decisions.report_demand

    @property
    def reports_running(self) -> int:
        """Reports that run."""
        return self._decisions.reports_running

    def set_limits(self, share: int, slot_limit: int, report_slot_limit: int) -> None:
        """Take newly granted limits of connections, slots and reports."""
        now = self._clock.now()
        actions = self._decisions.set_slot_limits(slot_limit, report_slot_limit, now)
        self._apply(actions)
        self._apply(self._decisions.set_share(share, now))

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused because the endpoint is leaving."""
        return self._decisions.is_draining

    def start_draining(self) -> None:
        """Refuse new work; what runs may end."""
        self._apply(self._decisions.start_draining(self._clock.now()))

    def stop_draining(self) -> None:
        """Admit work again."""
        self._apply(self._decisions.stop_draining(self._clock.now()))

    def close_all(self, reason: str) -> None:
        """Close every connection, whatever it does."""
        self._apply(self._decisions.close_all(reason, self._clock.now()))

    async def aclose(self) -> None:
        """Refuse new work and close what is idle; what runs may end."""
        self.start_draining()
        self._is_closed = True
        self._wake.set()
        while self.open_count > self.running_count:
            await anyio.sleep(_CLOSE_TICK_S)

    async def _wait(self, waiter: _Waiter, wait: timedelta) -> None:
        with anyio.move_on_after(wait.total_seconds()):
            await waiter.done.wait()
        while not waiter.done.is_set():
            # Deadlines pass in the decisions' own reading of the clock.
            self._apply(self._decisions.tick(self._clock.now()))
            with anyio.move_on_after(0.001):
                await waiter.done.wait()

    def _abandon(self, waiter: _Waiter) -> None:
        request_id = waiter.request.request_id
        self._waiters.pop(request_id, None)
        if waiter.connection is not None:
            self.release(waiter.connection)
            return
        self._apply(self._decisions.cancel_request(request_id, self._clock.now()))

    def _result(self, waiter: _Waiter) -> PooledLink:
        if waiter.connection is not None:
            return waiter.connection
        refusal = waiter.refusal
        detail = f"{self._name}: {refusal.code.meaning}"
        if refusal.code is ResultCode.ENDPOINT_UNREACHABLE:
            detail = f"{self._name}: {self._open_failure}"
        raise CodedError(refusal.code, detail, refusal.retry_after_ms)

    def _apply(self, actions: list[PoolAction]) -> None:
        for action in actions:
            match action:
                case GrantConnection():
                    self._grant(action)
                case RefuseRequest():
                    self._refuse(action)
                case OpenConnection(connection_id):
                    self._tasks.start_soon(self._open, connection_id)
                case CloseConnection(connection_id, reason):
                    self._close(connection_id, reason)
                case CheckConnection(connection_id):
                    self._tasks.start_soon(self._check, connection_id)
                case ProbeEndpoint(connection_id):
                    self._tasks.start_soon(self._probe, connection_id)

    def _grant(self, action: GrantConnection) -> None:
        connection = self._connections[action.connection_id]
        waiter = self._waiters.pop(action.request_id)
        if connection.is_quiet():
            connection.receive_count = connection.last_receive_count = 0
            waiter.connection = connection
            waiter.done.set()
            return
        # The endpoint closed it while it was idle: the request has not run.
        now = self._clock.now()
        self._waiters[action.request_id] = waiter
        self._apply(self._decisions.release(action.connection_id, False, now))
        self._apply(self._decisions.request(waiter.request, now))

    def _refuse(self, refusal: RefuseRequest) -> None:
        waiter = self._waiters.pop(refusal.request_id, None)
        if waiter is not None:
            waiter.refusal = refusal
            waiter.done.set()

    async def _open(self, connection_id: int) -> None:
        failure: CodedError | None = None
        connection: PooledLink | None = None
        with anyio.CancelScope() as scope:
            self._opening[connection_id] = scope
            try:
                connection = await self._open_connection()
            except CodedError as error:
                failure = error
        self._opening.pop(connection_id, None)
        now = self._clock.now()
        if connection is not None:
            connection.pool_connection_id = connection_id
            self._connections[connection_id] = connection
            self._apply(self._decisions.record_opened(connection_id, now))
            if scope.cancel_called:
                self._close(connection_id, "no longer wanted")
        elif failure is not None:
            self._open_failed(connection_id, failure, now)
        else:
            self._apply(self._decisions.record_closed(connection_id, now))

    def _open_failed(
        self, connection_id: int, failure: CodedError, now: timedelta
    ) -> None:
        too_many = failure.code is ResultCode.ENDPOINT_FULL
        self._open_failure = failure.detail
        _log.info("pool: %s: open failed: %s", self._name, failure)
        self._apply(self._decisions.record_open_failure(connection_id, too_many, now))

    def _close(self, connection_id: int, reason: str) -> None:
        scope = self._opening.get(connection_id)
        if scope is not None:
            scope.cancel()
            return
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return
        _log.debug("pool: %s: close connection: %s", self._name, reason)
        self._tasks.start_soon(self._finish_close, connection)

    async def _finish_close(self, connection: PooledLink) -> None:
        await connection.aclose()
        number = connection.pool_connection_id
        self._apply(self._decisions.record_closed(number, self._clock.now()))

    async def _check(self, connection_id: int) -> None:
        connection = self._connections.get(connection_id)
        if connection is None:
            return
        healthy = connection.is_quiet()
        if healthy:
            try:
                await connection.check()
            except CodedError:
                healthy = False
        self._apply(
            self._decisions.record_check_result(
                connection_id, healthy, self._clock.now()
            )
        )

    async def _probe(self, connection_id: int) -> None:
        silent = self._connections.get(connection_id)
        is_answered = False
        running: bool | None = None
        if silent is not None:
            with anyio.move_on_after(_PROBE_TIMEOUT_S):
                try:
                    running = await self._ask_after(silent)
                    is_answered = True
                except CodedError as error:
                    _log.info("pool: %s: probe failed: %s", self._name, error)
        self._note_progress()
        now = self._clock.now()
        if is_answered:
            actions = self._decisions.record_probe_answer(connection_id, running, now)
        else:
            actions = self._decisions.record_probe_failure(connection_id, now)
        self._apply(actions)

    def _note_progress(self) -> None:
        now = self._clock.now()
        for connection_id, connection in self._connections.items():
            is_new = connection.receive_count != connection.last_receive_count
            if is_new or not connection.is_receiving:
                connection.last_receive_count = connection.receive_count
                self._decisions.record_progress(connection_id, now)

"""Connection pool of one database: does the I/O that ``DatabasePool`` decides on."""

import itertools
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.check_connection import CheckConnection
from ..pool.close_connection import CloseConnection
from ..pool.connection_state import ConnectionState
from ..pool.database_pool import DatabasePool
from ..pool.grant_connection import GrantConnection
from ..pool.lane import Lane
from ..pool.open_connection import OpenConnection
from ..pool.pool_action import PoolAction
from ..pool.pool_counts import PoolCounts
from ..pool.probe_endpoint import ProbeEndpoint
from ..pool.refuse_request import RefuseRequest
from ..pool.requester import Requester
from ..pool.slot_request import SlotRequest
from ..routing.database_load import DatabaseLoad
from .pooled_link import PooledLink

OpenLink = Callable[[str], Awaitable[PooledLink]]
ProbeStatement = Callable[[PooledLink], Awaitable[bool | None]]
# Interval of timeout checks while requests run or wait; a timeout applies late by up
# to this.
_TICK_INTERVAL = timedelta(milliseconds=100)
_IDLE_TICK_INTERVAL = timedelta(seconds=5)
_CLOSE_POLL_INTERVAL_S = 0.005  # a connection closes within a few round trips
_PROBE_TIMEOUT_S = 2  # a working endpoint answers well within it
_log = logging.getLogger("goldcrestpond.endpoint")


@dataclass(slots=True, eq=False)
class _Waiter:
    """A task that waits in ``acquire``, and the connection or refusal it gets."""

    request: SlotRequest
    done: anyio.Event
    connection: PooledLink | None = None
    refusal: RefuseRequest | None = None


class ConnectionPool:
    """Connections to one database, checked out for one transaction at a time.

    Parameters
    ----------
    name : str
        Name of the database, for logs and error messages.
    decisions : DatabasePool
        Decides which connections are opened, checked out and closed, and which
        requests are refused.
    open_connection : callable
        Opens one connection for an organisation (empty if the requests have none), or
        raises ``CodedError`` within a bounded time.
    clock : Clock
        Source of monotonic time.
    tasks : TaskGroup
        Runs the tasks that open, check, probe and close connections.
    probe_statement : callable
        Asks the database over a new connection whether the statement of a silent
        connection still runs; returns None if the database does not report it.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_decisions",
        "_is_closed",
        "_name",
        "_open_connection",
        "_last_open_failure",
        "_opening_scopes",
        "_probe_statement",
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
        probe_statement: ProbeStatement,
    ):
        self._probe_statement = probe_statement
        self._name = name
        self._decisions = decisions
        self._open_connection = open_connection
        self._clock = clock
        self._tasks = tasks
        self._connections: dict[int, PooledLink] = {}
        self._opening_scopes: dict[int, anyio.CancelScope] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._request_ids = itertools.count(1)
        self._last_open_failure = ""
        self._term = 0
        self._wake = anyio.Event()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Number of connections that may be open, including those of probes."""
        return self._decisions.open_count

    @property
    def running_count(self) -> int:
        """Number of connections that are checked out."""
        return self._decisions.running_count

    @property
    def demand(self) -> int:
        """Number of connections that running and waiting requests could use."""
        return self._decisions.demand

    @property
    def counts(self) -> PoolCounts:
        """Grants by whether a connection had to be opened, and closes for room."""
        return self._decisions.counts

    def count_by_state(self) -> dict[ConnectionState, int]:
        """Return the number of connections in each state."""
        return self._decisions.count_by_state()

    def load(self, slots: int, organisation: str = "") -> DatabaseLoad:
        """Return how busy the database is with work of this instance.

        Parameters
        ----------
        slots : int
            Statement slots of the database, over all instances.
        organisation : str, default=""
            Whose request is to be sent there; empty if requests have none.
        """
        return self._decisions.load(slots, self._clock.now(), organisation)

    @property
    def service_time(self) -> timedelta:
        """Mean duration of a statement."""
        return self._decisions.service_time

    async def run(self) -> None:
        """Apply idle, silence and queue timeouts until the pool is closed."""
        while not self._is_closed:
            pause = _TICK_INTERVAL if self._decisions.demand else _IDLE_TICK_INTERVAL
            with anyio.move_on_after(pause.total_seconds()):
                await self._wake.wait()
            self._wake = anyio.Event()
            self._record_progress()
            self._apply(self._decisions.tick(self._clock.now()))

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int = 0,
    ) -> PooledLink:
        """Check out a connection, waiting for a free one if needed.

        Parameters
        ----------
        term : int
            Term in which the database was chosen; once a request has a higher
            one, connections of earlier terms are closed when free.
        deadline : timedelta
            Monotonic time at which the wait ends.
        requester : Requester
            For whom the connection is; waiting sessions are served fairly.
        lane : Lane
            Class of work.
        priority : int, default=0
            Within the lane, lower values go first.

        Raises
        ------
        CodedError
            QUEUE_DEADLINE, OVERLOADED, ENDPOINT_LEAVING, ENDPOINT_BUSY (it is paced,
            and another database can do the work) or ENDPOINT_UNREACHABLE; nothing was
            sent to the database.
        """
        self.set_term(term)
        if not self._decisions.demand:
            self._wake.set()
        request = SlotRequest(
            next(self._request_ids), requester, lane, deadline, priority
        )
        waiter = _Waiter(request, anyio.Event())
        self._waiters[request.request_id] = waiter
        now = self._clock.now()
        self._apply(self._decisions.request(request, now))
        if waiter.done.is_set():
            return self._get_result(waiter)
        try:
            await self._wait(waiter, deadline - now)
        except BaseException:
            self._cancel_request(waiter)
            raise
        return self._get_result(waiter)

    def may_open_ahead(self) -> bool:
        """Return whether there is room for a connection that nobody waits for."""
        return self._decisions.may_open_ahead(self._clock.now())

    def open_ahead(self, organisations: Iterable[str]) -> None:
        """Open a connection for the first of the organisations that has none."""
        actions = self._decisions.open_ahead(organisations, self._clock.now())
        self._apply(actions)

    def release(self, connection: PooledLink) -> None:
        """Return a checked-out connection to the pool; a broken one is closed."""
        now = self._clock.now()
        is_reusable = not connection.is_broken
        is_evidence = connection.receive_count > 0
        if connection.is_broken:
            is_evidence = not connection.is_abandoned
        self._apply(
            self._decisions.release(
                connection.pool_connection_id, is_reusable, now, is_evidence
            )
        )

    def suspend(self, connection: PooledLink) -> None:
        """Free the slot of an open transaction that waits for its next statement."""
        self._apply(
            self._decisions.suspend(connection.pool_connection_id, self._clock.now())
        )

    def resume(self, connection: PooledLink) -> None:
        """Record that a suspended transaction runs its next statement."""
        connection.receive_count = connection.last_receive_count = 0
        self._decisions.resume(connection.pool_connection_id, self._clock.now())
        self._wake.set()

    def record_refusal(self, connection: PooledLink) -> None:
        """Record that the database refused or failed the running statement."""
        self._decisions.record_refusal(connection.pool_connection_id)

    def set_term(self, term: int) -> None:
        """Retire connections that were opened under an earlier term."""
        if term > self._term:
            self._term = term
            self._apply(self._decisions.set_term(term, self._clock.now()))

    def mark_replaced(self, term: int, is_answering: bool) -> None:
        """Record that the database is no longer the primary.

        Waiting requests are refused, so that they are retried on the new primary.

        Parameters
        ----------
        term : int
            Term of the new primary.
        is_answering : bool
            Whether the database still answers. Then running statements may finish
            before their connections are closed; otherwise all are closed at once.
        """
        self._term = max(self._term, term)
        self._last_open_failure = "the primary was replaced"
        if not is_answering:
            for connection in self._connections.values():
                # Closed without an end message: a session may be sending on it.
                connection.is_broken = True
        now = self._clock.now()
        self._apply(self._decisions.mark_replaced(term, is_answering, now))

    @property
    def report_demand(self) -> int:
        """Number of running and waiting requests of the report lane."""
        return self._decisions.report_demand

    @property
    def reports_running(self) -> int:
        """Number of running requests of the report lane."""
        return self._decisions.reports_running

    def set_limits(self, share: int, slot_limit: int, report_slot_limit: int) -> None:
        """Apply newly granted limits.

        Parameters
        ----------
        share : int
            Connections that this instance may hold to the database.
        slot_limit : int
            Statements that may run at once.
        report_slot_limit : int
            Statements of the report lane that may run at once.
        """
        now = self._clock.now()
        # The share first: more slots open no connections beyond it.
        self._apply(self._decisions.set_share(share, now))
        actions = self._decisions.set_slot_limits(slot_limit, report_slot_limit, now)
        self._apply(actions)

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused because the endpoint is being drained."""
        return self._decisions.is_draining

    def start_draining(self) -> None:
        """Refuse new work; running statements may finish."""
        self._apply(self._decisions.start_draining(self._clock.now()))

    def stop_draining(self) -> None:
        """Admit new work again."""
        self._apply(self._decisions.stop_draining(self._clock.now()))

    def close_all(self, reason: str) -> None:
        """Close every connection, also those that run a statement."""
        self._apply(self._decisions.close_all(reason, self._clock.now()))

    async def aclose(self) -> None:
        """Refuse new work and close idle connections; running statements may finish."""
        self.start_draining()
        self._is_closed = True
        self._wake.set()
        while self.open_count > self.running_count:
            await anyio.sleep(_CLOSE_POLL_INTERVAL_S)

    async def _wait(self, waiter: _Waiter, wait: timedelta) -> None:
        with anyio.move_on_after(wait.total_seconds()):
            await waiter.done.wait()
        while not waiter.done.is_set():
            # ``DatabasePool`` refuses the request once its deadline has passed by
            # ``self._clock``; the timeout above may end slightly earlier.
            self._apply(self._decisions.tick(self._clock.now()))
            with anyio.move_on_after(0.001):
                await waiter.done.wait()

    def _cancel_request(self, waiter: _Waiter) -> None:
        request_id = waiter.request.request_id
        self._waiters.pop(request_id, None)
        if waiter.connection is not None:
            self.release(waiter.connection)
            return
        self._apply(self._decisions.cancel_request(request_id, self._clock.now()))

    def _get_result(self, waiter: _Waiter) -> PooledLink:
        if waiter.connection is not None:
            return waiter.connection
        refusal = waiter.refusal
        detail = f"{self._name}: {refusal.code.meaning}"
        if refusal.code is ResultCode.ENDPOINT_UNREACHABLE:
            detail = f"{self._name}: {self._last_open_failure}"
        raise CodedError(refusal.code, detail, refusal.retry_after_ms)

    def _apply(self, actions: list[PoolAction]) -> None:
        for action in actions:
            match action:
                case GrantConnection():
                    self._grant(action)
                case RefuseRequest():
                    self._refuse(action)
                case OpenConnection(connection_id, _, organisation):
                    # From now on the opening can be cancelled, even before it starts.
                    scope = self._opening_scopes[connection_id] = anyio.CancelScope()
                    self._tasks.start_soon(
                        self._open, connection_id, organisation, scope
                    )
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
        # The endpoint closed the connection while it was idle. The request has not
        # been sent, so it is queued again.
        now = self._clock.now()
        self._waiters[action.request_id] = waiter
        self._apply(self._decisions.release(action.connection_id, False, now))
        self._apply(self._decisions.request(waiter.request, now))

    def _refuse(self, refusal: RefuseRequest) -> None:
        waiter = self._waiters.pop(refusal.request_id, None)
        if waiter is not None:
            waiter.refusal = refusal
            waiter.done.set()

    async def _open(
        self, connection_id: int, organisation: str, scope: anyio.CancelScope
    ) -> None:
        failure: CodedError | None = None
        connection: PooledLink | None = None
        with scope:
            try:
                connection = await self._open_connection(organisation)
            except CodedError as error:
                failure = error
            except Exception as error:
                _log.exception("pool: %s: opening a connection failed", self._name)
                failure = CodedError(ResultCode.INTERNAL, repr(error))
        self._opening_scopes.pop(connection_id, None)
        now = self._clock.now()
        if connection is not None:
            connection.pool_connection_id = connection_id
            self._connections[connection_id] = connection
            self._apply(self._decisions.record_opened(connection_id, now))
            if scope.cancel_called:
                self._close(connection_id, "no longer needed")
        elif failure is not None:
            self._record_open_failure(connection_id, failure, now)
        else:
            self._apply(self._decisions.record_closed(connection_id, now))

    def _record_open_failure(
        self, connection_id: int, failure: CodedError, now: timedelta
    ) -> None:
        is_full = failure.code is ResultCode.ENDPOINT_FULL
        self._last_open_failure = failure.detail
        _log.info("pool: %s: cannot open a connection: %s", self._name, failure)
        self._apply(self._decisions.record_open_failure(connection_id, is_full, now))

    def _close(self, connection_id: int, reason: str) -> None:
        scope = self._opening_scopes.get(connection_id)
        if scope is not None:
            scope.cancel()
            return
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return
        _log.debug("pool: %s: closing a connection: %s", self._name, reason)
        self._tasks.start_soon(self._finish_close, connection)

    async def _finish_close(self, connection: PooledLink) -> None:
        try:
            await connection.aclose()
        finally:
            connection_id = connection.pool_connection_id
            self._apply(self._decisions.record_closed(connection_id, self._clock.now()))

    async def _check(self, connection_id: int) -> None:
        connection = self._connections.get(connection_id)
        if connection is None:
            return
        is_healthy = connection.is_quiet()
        if is_healthy:
            try:
                await connection.check()
            except CodedError:
                is_healthy = False
            except Exception:
                _log.exception("pool: %s: checking a connection failed", self._name)
                is_healthy = False
        self._apply(
            self._decisions.record_check_result(
                connection_id, is_healthy, self._clock.now()
            )
        )

    async def _probe(self, connection_id: int) -> None:
        silent_connection = self._connections.get(connection_id)
        is_answered = False
        is_running: bool | None = None
        if silent_connection is not None:
            with anyio.move_on_after(_PROBE_TIMEOUT_S):
                try:
                    is_running = await self._probe_statement(silent_connection)
                    is_answered = True
                except CodedError as error:
                    _log.info("pool: %s: probe failed: %s", self._name, error)
                except Exception:
                    _log.exception("pool: %s: probe failed", self._name)
        self._record_progress()
        now = self._clock.now()
        if is_answered:
            actions = self._decisions.record_probe_answer(
                connection_id, is_running, now
            )
        else:
            actions = self._decisions.record_probe_failure(connection_id, now)
        self._apply(actions)

    def _record_progress(self) -> None:
        now = self._clock.now()
        for connection_id, connection in self._connections.items():
            has_received = connection.receive_count != connection.last_receive_count
            if has_received or not connection.is_receiving:
                connection.last_receive_count = connection.receive_count
                self._decisions.record_progress(connection_id, now)

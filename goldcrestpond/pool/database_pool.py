"""Decisions of the pool of one database on one instance."""

from datetime import timedelta

from ..errors.result_code import ResultCode
from ..routing.database_load import DatabaseLoad
from .check_connection import CheckConnection
from .close_connection import CloseConnection
from .connection_limit import ConnectionLimit
from .connection_state import ConnectionState
from .connection_table import ConnectionTable
from .grant_connection import GrantConnection
from .lane import Lane
from .lane_queues import LaneQueues
from .lane_slots import LaneSlots
from .open_connection import OpenConnection
from .pool_action import PoolAction
from .pool_settings import PoolSettings
from .pooled_connection import PooledConnection
from .probe_endpoint import ProbeEndpoint
from .refuse_request import RefuseRequest
from .slot_request import SlotRequest

# With fewer connections than this, none is kept back for probes.
_MIN_LIMIT_WITH_PROBES = 3
# The answer may have been on its way while the first probe was answered; when
# the second is answered it would have arrived.
_MISSING_LIMIT = 2
_LEAVING = (ConnectionState.CONDEMNED, ConnectionState.CLOSING)


class DatabasePool:
    """Connections, slots and queues of one database.

    Each method reports an event at the monotonic reading ``now`` and returns
    the actions that the shell carries out, in order. Events of connections
    that the pool has closed are ignored.

    Parameters
    ----------
    settings : PoolSettings
        Limits and deadlines.
    term : int, default=0
        Present term of the group.
    """

    __slots__ = (
        "_connections",
        "_doubted_at",
        "_leaving",
        "_limit",
        "_open_after",
        "_probes",
        "_queues",
        "_settings",
        "_slots",
        "_term",
    )

    def __init__(self, settings: PoolSettings, term: int = 0):
        self._settings = settings
        self._term = term
        self._slots = LaneSlots(settings.slot_limit, settings.report_slot_limit)
        self._queues = LaneQueues(self._slots)
        self._connections = ConnectionTable()
        self._limit = ConnectionLimit(
            settings.connection_limit, settings.limit_growth_interval
        )
        self._open_after = timedelta(0)
        self._probes: set[int] = set()
        self._leaving = False
        self._doubted_at = timedelta.min

    @property
    def open_count(self) -> int:
        """Connections that may be open, probes included."""
        return len(self._connections) + len(self._probes)

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused because the endpoint is leaving."""
        return self._leaving

    @property
    def waiting_count(self) -> int:
        """Requests that wait."""
        return len(self._queues)

    @property
    def running_count(self) -> int:
        """Connections that run a statement or hold a transaction."""
        return self._connections.count(ConnectionState.BUSY, ConnectionState.HELD)

    @property
    def demand(self) -> int:
        """Connections that the present work could use."""
        return self.running_count + self.waiting_count

    @property
    def reports_running(self) -> int:
        """Reports that run."""
        return self._slots.running(Lane.REPORT)

    @property
    def report_demand(self) -> int:
        """Reports that run or wait."""
        return self.reports_running + self._queues.waiting_count(Lane.REPORT)

    def load(self, slots: int) -> DatabaseLoad:
        """Return how busy this instance keeps the database.

        Parameters
        ----------
        slots : int
            Slots of the database; fewer connections allow fewer statements.
        """
        limit = max(1, min(slots, self._slots.total))
        return DatabaseLoad(
            running=self._connections.count(ConnectionState.BUSY),
            queued=self.waiting_count,
            idle_connections=self._connections.count(ConnectionState.IDLE),
            slots=limit,
            service_ms=self._queues.service_time / timedelta(milliseconds=1),
        )

    def request(self, request: SlotRequest, now: timedelta) -> list[PoolAction]:
        """Queue a request, or refuse it at once."""
        if self._leaving:
            code = ResultCode.ENDPOINT_LEAVING
            return [RefuseRequest(request.request_id, code, 1)]
        refusal = self._queues.submit(request, now)
        if refusal is not None:
            return [refusal]
        return self._schedule(now)

    def cancel_request(self, request_id: int, now: timedelta) -> list[PoolAction]:
        """Forget a waiting request whose caller left."""
        self._queues.remove(request_id)
        return self._schedule(now)

    def record_opened(self, connection_id: int, now: timedelta) -> list[PoolAction]:
        """Take a connection that was opened into use."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.OPENING:
            return []
        self._make_idle(connection, now)
        return self._schedule(now)

    def record_open_failure(
        self, connection_id: int, too_many: bool, now: timedelta
    ) -> list[PoolAction]:
        """Account for an open that failed.

        Parameters
        ----------
        connection_id : int
            The connection.
        too_many : bool
            True if the endpoint refused because it holds too many connections.
        now : timedelta
            Monotonic reading.
        """
        self._connections.remove(connection_id)
        self._open_after = now + self._settings.open_backoff
        if too_many:
            self._limit.refused(self._connections.remaining_count(), now)
        if too_many or self._connections.remaining_count():
            return self._schedule(now)
        code = ResultCode.ENDPOINT_UNREACHABLE
        return [*self._queues.refuse_all(code, self._settings.open_backoff)]

    def record_progress(self, connection_id: int, now: timedelta) -> None:
        """Note that the endpoint was heard on a connection."""
        connection = self._connections.get(connection_id)
        if connection is None:
            return
        connection.last_progress = now
        connection.missing_count = 0

    def suspend(self, connection_id: int, now: timedelta) -> list[PoolAction]:
        """Free the slot of a transaction that waits for its caller."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.BUSY:
            return []
        self._finish_statement(connection, now)
        self._connections.move(connection, ConnectionState.HELD, now)
        return self._schedule(now)

    def resume(self, connection_id: int, now: timedelta) -> None:
        """Note that a held transaction runs a further statement."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.HELD:
            return
        self._slots.resume(connection.lane)
        self._connections.occupy(connection, connection.lane, now)

    def release(
        self, connection_id: int, reusable: bool, now: timedelta
    ) -> list[PoolAction]:
        """Take a connection back at the end of its request.

        Parameters
        ----------
        connection_id : int
            The connection.
        reusable : bool
            False if an answer is outstanding or the session state is unknown.
        now : timedelta
            Monotonic reading.
        """
        connection = self._connections.get(connection_id)
        if connection is None or connection.state in _LEAVING:
            return []
        if not (reusable and connection.reusable):
            close = self._close(connection, "not reusable", now)
            return [close, *self._schedule(now)]
        if connection.state is ConnectionState.BUSY:
            self._finish_statement(connection, now)
        self._make_idle(connection, now)
        return self._schedule(now)

    def record_check_result(
        self, connection_id: int, healthy: bool, now: timedelta
    ) -> list[PoolAction]:
        """Take the result of a check of an idle connection."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.CHECKING:
            return []
        if healthy:
            self._make_idle(connection, now)
            return self._schedule(now)
        return [self._condemn(connection, "check failed", now), *self._schedule(now)]

    def record_probe_answer(
        self, connection_id: int, running: bool | None, now: timedelta
    ) -> list[PoolAction]:
        """Take the answer of a probe on behalf of a silent connection.

        Parameters
        ----------
        connection_id : int
            The silent connection.
        running : bool or None
            Whether its statement still runs; None if the endpoint cannot say.
        now : timedelta
            Monotonic reading.
        """
        connection = self._end_probe(connection_id)
        if connection is None:
            return self._schedule(now)
        connection.probe_after = now + self._settings.progress_deadline
        if running is True:
            connection.missing_count = 0
            connection.last_progress = now
        if running is not False or not self._is_silent(connection, now):
            return self._schedule(now)
        connection.missing_count += 1
        if connection.missing_count < _MISSING_LIMIT:
            connection.probe_after = now
            return self.tick(now)
        return [self._condemn(connection, "silent", now), *self._schedule(now)]

    def record_probe_failure(
        self, connection_id: int, now: timedelta
    ) -> list[PoolAction]:
        """Note that a probe found no answer: the fault is not the connection's."""
        connection = self._end_probe(connection_id)
        if connection is not None:
            connection.probe_after = now + self._settings.progress_deadline
        return self._schedule(now)

    def record_closed(self, connection_id: int, now: timedelta) -> list[PoolAction]:
        """Forget a connection that was closed, by either side."""
        connection = self._connections.remove(connection_id)
        if connection is not None and connection.state is ConnectionState.BUSY:
            self._finish_statement(connection, now)
        return self._schedule(now)

    def set_share(self, share: int, now: timedelta) -> list[PoolAction]:
        """Take a newly granted share of connections."""
        self._limit.set_share(share)
        return self._schedule(now)

    def set_slot_limits(
        self, slot_limit: int, report_slot_limit: int, now: timedelta
    ) -> list[PoolAction]:
        """Take new limits of statements and of reports that run at once."""
        self._slots.resize(slot_limit, report_slot_limit)
        return self._schedule(now)

    def set_term(self, term: int, now: timedelta) -> list[PoolAction]:
        """Close what was opened under an earlier term once it is free."""
        self._term = max(term, self._term)
        actions = []
        for connection in self._connections:
            if connection.term < self._term:
                actions += self._retire(connection, "term superseded", now)
        return actions + self._schedule(now)

    def mark_replaced(
        self, term: int, is_answering: bool, now: timedelta
    ) -> list[PoolAction]:
        """Take no more work: the database was the primary before ``term``.

        What waits is to go to the next primary. Statements that run may end if
        the database still answers: each then has a definite answer.
        """
        reason = "primary replaced"
        actions: list[PoolAction] = []
        if is_answering:
            for connection in list(self._connections):
                actions += self._retire(connection, reason, now)
        else:
            actions += self.close_all(reason, now)
        self._term = max(self._term, term)
        code = ResultCode.ENDPOINT_UNREACHABLE
        return actions + self._queues.refuse_all(code, timedelta(0))

    def start_draining(self, now: timedelta) -> list[PoolAction]:
        """Refuse new work; what runs may end, idle connections are closed."""
        self._leaving = True
        code = ResultCode.ENDPOINT_LEAVING
        actions: list[PoolAction] = [*self._queues.refuse_all(code, timedelta(0))]
        for connection in self._connections:
            actions += self._retire(connection, "endpoint leaving", now)
        return actions

    def stop_draining(self, now: timedelta) -> list[PoolAction]:
        """Admit work again after a drain order was withdrawn."""
        self._leaving = False
        return self._schedule(now)

    def close_all(self, reason: str, now: timedelta) -> list[PoolAction]:
        """Close every connection, whatever it does."""
        present = [c for c in self._connections if c.state not in _LEAVING]
        return [self._close(connection, reason, now) for connection in present]

    def tick(self, now: timedelta) -> list[PoolAction]:
        """Act on what the passing of time alone has made due."""
        actions: list[PoolAction] = [*self._queues.refuse_late(now)]
        for connection in self._connections:
            actions += self._tick_connection(connection, now)
        return actions + self._schedule(now)

    def _tick_connection(
        self, connection: PooledConnection, now: timedelta
    ) -> list[PoolAction]:
        settings = self._settings
        since = now - connection.state_since
        if connection.state is ConnectionState.CHECKING:
            if since >= settings.check_deadline:
                return [self._condemn(connection, "check unanswered", now)]
        if connection.state is ConnectionState.IDLE and since >= settings.idle_timeout:
            return [self._close(connection, "idle", now)]
        if connection.state is ConnectionState.BUSY:
            return self._tick_busy(connection, now)
        return []

    def _tick_busy(
        self, connection: PooledConnection, now: timedelta
    ) -> list[PoolAction]:
        if now - connection.last_progress >= self._settings.silence_limit:
            return [self._condemn(connection, "silent", now)]
        quiet = now - connection.last_progress
        if quiet >= self._settings.doubt_after and not connection.doubted:
            # What has lost track of one connection may have lost others too.
            connection.doubted = True
            self._doubted_at = now
        if connection.probing or now < connection.probe_after:
            return []
        if not self._is_silent(connection, now):
            return []
        if connection.connection_id in self._probes or not self._probe_fits(now):
            connection.probe_after = now + self._settings.progress_deadline
            return []
        connection.probing = True
        self._probes.add(connection.connection_id)
        return [ProbeEndpoint(connection.connection_id)]

    def _is_silent(self, connection: PooledConnection, now: timedelta) -> bool:
        quiet = now - connection.last_progress
        busy = connection.state is ConnectionState.BUSY
        return busy and quiet >= self._settings.progress_deadline

    def _probe_fits(self, now: timedelta) -> bool:
        return self.open_count < self._limit.current(now)

    def _end_probe(self, connection_id: int) -> PooledConnection | None:
        self._probes.discard(connection_id)
        connection = self._connections.get(connection_id)
        if connection is None or not connection.probing:
            return None
        connection.probing = False
        return connection

    def _finish_statement(self, connection: PooledConnection, now: timedelta) -> None:
        self._queues.finish(connection.lane, now - connection.state_since)

    def _make_idle(self, connection: PooledConnection, now: timedelta) -> None:
        connection.last_progress = now
        self._connections.move(connection, ConnectionState.IDLE, now)

    def _retire(
        self, connection: PooledConnection, reason: str, now: timedelta
    ) -> list[PoolAction]:
        connection.reusable = False
        if connection.state in (ConnectionState.BUSY, ConnectionState.HELD):
            return []
        if connection.state in _LEAVING:
            return []
        return [self._close(connection, reason, now)]

    def _condemn(
        self, connection: PooledConnection, reason: str, now: timedelta
    ) -> CloseConnection:
        close = self._close(connection, reason, now)
        self._connections.move(connection, ConnectionState.CONDEMNED, now)
        return close

    def _close(
        self, connection: PooledConnection, reason: str, now: timedelta
    ) -> CloseConnection:
        if connection.state is ConnectionState.BUSY:
            self._finish_statement(connection, now)
        self._connections.move(connection, ConnectionState.CLOSING, now)
        return CloseConnection(connection.connection_id, reason)

    def _schedule(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        actions += self._shrink(now)
        actions += self._grant(now)
        actions += self._open(now)
        return actions

    def _shrink(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        limit = self._limit.current(now)
        while self._connections.remaining_count() > limit:
            unused = self._connections.stalest_unused()
            if unused is None:
                break
            actions.append(self._close(unused, "share shrank", now))
        return actions

    def _grant(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        while True:
            connection = self._connections.freshest_idle()
            if connection is None or not self._queues.has_next():
                return actions
            if self._needs_check(connection, now):
                return actions + self._check(now)
            request = self._queues.next_request()
            self._connections.occupy(connection, request.lane, now)
            grant = GrantConnection(request.request_id, connection.connection_id)
            actions.append(grant)

    def _needs_check(self, connection: PooledConnection, now: timedelta) -> bool:
        quiet = now - connection.last_progress
        is_doubted = connection.last_progress <= self._doubted_at
        return is_doubted or quiet > self._settings.idle_check

    def _check(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        checking = self._connections.count(ConnectionState.CHECKING)
        for _ in range(self._queues.startable_count() - checking):
            connection = self._connections.freshest_idle()
            if connection is None:
                break
            self._connections.move(connection, ConnectionState.CHECKING, now)
            actions.append(CheckConnection(connection.connection_id))
        return actions

    def _open(self, now: timedelta) -> list[PoolAction]:
        if self._leaving or now < self._open_after:
            return []
        limit = self._limit.current(now)
        if limit >= _MIN_LIMIT_WITH_PROBES and not self._probes:
            limit -= self._settings.probe_reserve
        room = limit - self.open_count
        if room <= 0:
            return []
        coming = self._connections.count(
            ConnectionState.OPENING, ConnectionState.CHECKING
        )
        wanted = self._queues.startable_count() - coming
        actions: list[PoolAction] = []
        for _ in range(min(wanted, room)):
            connection = self._connections.add(self._term, now)
            actions.append(OpenConnection(connection.connection_id, connection.term))
        return actions

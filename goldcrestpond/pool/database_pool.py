"""State machine of the connection pool of one database on one instance."""

from collections.abc import Iterable
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
from .opening_room import OpeningRoom
from .organisation_scheduler import OrganisationScheduler
from .pace import Pace
from .pool_action import PoolAction
from .pool_counts import PoolCounts
from .pool_settings import PoolSettings
from .pooled_connection import PooledConnection
from .probe_endpoint import ProbeEndpoint
from .refuse_request import RefuseRequest
from .slot_request import SlotRequest

# With a connection limit below this, no connection is reserved for probes.
_MIN_LIMIT_WITH_PROBES = 3
# When the first probe finds a statement no longer running, its answer may still be in
# transit. By the answer to the second probe it would have arrived.
_MAX_NOT_RUNNING_ANSWERS = 2
# The only connection of a named organisation is kept idle this many times longer than
# others: none of another organisation can take its place.
_ONLY_CONNECTION_IDLE_FACTOR = 12
# A connection that is lost sooner after it was granted had been closed while idle.
_MIN_SERVICE_TIME = timedelta(milliseconds=1)
_CLOSING_STATES = (ConnectionState.FAILED, ConnectionState.CLOSING)


class DatabasePool:
    """Connections, slots and queues of one database.

    Each method reports an event at the monotonic time ``now`` and returns the actions
    that the caller has to carry out, in order. The class itself does no I/O. Events
    of connections that the pool has closed are ignored.

    A connection serves one organisation for its life. As long as no named organisation
    has sent a request, there is the nameless one only, and any connection serves any
    request. From then on `OrganisationScheduler` assigns the connections.

    Parameters
    ----------
    settings : PoolSettings
        Limits and timeouts.
    term : int, default=0
        Current term of the group.
    pace : Pace, optional
        Limits the statements in flight further while the database has just started or
        recovered; by default never.
    """

    __slots__ = (
        "_connections",
        "_counts",
        "_has_organisations",
        "_is_draining",
        "_last_stall_at",
        "_limit",
        "_next_open_at",
        "_pace",
        "_probes",
        "_queues",
        "_scheduler",
        "_settings",
        "_slots",
        "_term",
    )

    def __init__(self, settings: PoolSettings, term: int = 0, pace: Pace | None = None):
        self._settings = settings
        self._term = term
        self._slots = LaneSlots(settings.slot_limit, settings.report_slot_limit)
        self._pace = Pace() if pace is None else pace
        self._pace.set_limit(self._slots.unpaced_total)
        self._queues = LaneQueues(self._slots)
        self._connections = ConnectionTable()
        self._counts = PoolCounts()
        self._has_organisations = False
        self._scheduler = OrganisationScheduler(
            self._connections,
            self._queues,
            self._slots,
            self._counts,
            self._needs_check,
        )
        self._limit = ConnectionLimit(
            settings.connection_limit, settings.limit_growth_interval
        )
        self._next_open_at = timedelta(0)
        self._probes: set[int] = set()
        self._is_draining = False
        self._last_stall_at = timedelta.min

    @property
    def service_time(self) -> timedelta:
        """Mean duration of a statement."""
        return self._queues.service_time

    @property
    def open_count(self) -> int:
        """Number of connections that may be open, including those of probes."""
        return len(self._connections) + len(self._probes)

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused because the endpoint is being drained."""
        return self._is_draining

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._queues) + self._scheduler.pending_count

    @property
    def counts(self) -> PoolCounts:
        """What the pool has done since it was made."""
        return self._counts

    def count_by_state(self) -> dict[ConnectionState, int]:
        """Return the number of connections in each state."""
        return {state: self._connections.count(state) for state in ConnectionState}

    @property
    def running_count(self) -> int:
        """Number of connections that run a statement or hold a transaction."""
        return self._connections.count(ConnectionState.BUSY, ConnectionState.HELD)

    @property
    def demand(self) -> int:
        """Number of connections that the current work could use."""
        return self.running_count + self.waiting_count

    @property
    def reports_running(self) -> int:
        """Number of running reports."""
        return self._slots.running(Lane.REPORT)

    @property
    def report_demand(self) -> int:
        """Number of reports that run or wait."""
        return self.reports_running + self._queues.waiting_count(Lane.REPORT)

    def load(self, slots: int, now: timedelta, organisation: str = "") -> DatabaseLoad:
        """Return the load that this instance puts on the database.

        Parameters
        ----------
        slots : int
            Slots of the database. The result is limited to the slots that this
            instance has there.
        now : timedelta
            Monotonic time.
        organisation : str, default=""
            Whose request is to be sent there; empty if requests have none.
        """
        limit = max(1, min(slots, self._slots.total))
        opening_ms = None
        if organisation:
            has_room = self.open_count < self._limit.current(now)
            opening = self._scheduler.opening_cost(organisation, has_room)
            opening_ms = opening / timedelta(milliseconds=1)
        return DatabaseLoad(
            running=self._connections.count(ConnectionState.BUSY),
            queued=self.waiting_count,
            idle_connections=self._connections.count(ConnectionState.IDLE),
            slots=limit,
            service_ms=self._queues.service_time / timedelta(milliseconds=1),
            opening_ms=opening_ms,
            is_due=not self._in_flight_count and self._pace.is_due(now),
            is_full=self._is_window_full(now),
        )

    def request(self, request: SlotRequest, now: timedelta) -> list[PoolAction]:
        """Queue a request for a connection, or refuse it at once."""
        if self._is_draining:
            code = ResultCode.ENDPOINT_LEAVING
            return [RefuseRequest(request.request_id, code, 1)]
        organisation = request.requester.organisation
        if organisation:
            self._has_organisations = True
        if not self._has_organisations:
            refusal = self._queues.submit(request, now)
            if refusal is None:
                return self._schedule(now)
            return [self._name_pace(refusal, now)]
        opening_time = self._scheduler.opening_time(organisation)
        refusal = self._queues.submit(request, now, opening_time)
        if refusal is not None:
            return [self._name_pace(refusal, now)]
        displaced = self._queues.refuse_displaced(request.lane, now)
        return [*displaced, *self._schedule(now)]

    def may_open_ahead(self, now: timedelta) -> bool:
        """Return whether there is room for a connection that nobody waits for."""
        return self._scheduler.may_open_ahead(self._compute_room(now))

    def open_ahead(
        self, organisations: Iterable[str], now: timedelta
    ) -> list[PoolAction]:
        """Open a connection for the first of the organisations that has none.

        To be called now and then with the organisations whose requests are expected,
        in order of their rates. Does nothing while requests wait.
        """
        if not self.may_open_ahead(now):
            return []
        self._has_organisations = True
        room = self._compute_room(now)
        for organisation in organisations:
            opened = self._scheduler.open_ahead(organisation, room, self._term, now)
            if opened is not None:
                return [opened]
        return []

    def cancel_request(self, request_id: int, now: timedelta) -> list[PoolAction]:
        """Remove a waiting request that its caller has cancelled."""
        if self._queues.remove(request_id) is None:
            self._scheduler.remove(request_id)
        return self._schedule(now)

    def record_opened(self, connection_id: int, now: timedelta) -> list[PoolAction]:
        """Record that a connection was opened; it becomes idle."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.OPENING:
            return []
        return self._finish_pending(connection, now) + self._schedule(now)

    def record_open_failure(
        self, connection_id: int, too_many: bool, now: timedelta
    ) -> list[PoolAction]:
        """Record that a connection could not be opened.

        Unless the endpoint merely has too many connections, the waiting requests of an
        organisation that has no other connection left are refused, and all if there is
        none of any organisation.

        Parameters
        ----------
        connection_id : int
            Id of the connection.
        too_many : bool
            True if the endpoint refused it because too many connections are open.
        now : timedelta
            Monotonic time.
        """
        connection = self._connections.remove(connection_id)
        if connection is not None and connection.occupies_slot:
            self._scheduler.abandon(connection)
        backoff = self._settings.open_backoff
        self._next_open_at = now + backoff
        if too_many:
            self._limit.record_refusal(self._connections.remaining_count(), now)
            return self._schedule(now)
        self._pace.record_failure(now)
        code = ResultCode.ENDPOINT_UNREACHABLE
        if not self._connections.remaining_count():
            return [*self._queues.refuse_all(code, backoff)]
        if connection is None or any(
            self._connections.of_organisation(connection.organisation)
        ):
            return self._schedule(now)
        organisation = connection.organisation
        refusals = self._queues.refuse_organisation(organisation, code, backoff)
        return [*refusals, *self._schedule(now)]

    def record_progress(self, connection_id: int, now: timedelta) -> None:
        """Record that data from the endpoint arrived on a connection."""
        connection = self._connections.get(connection_id)
        if connection is None:
            return
        connection.last_active_at = now
        connection.not_running_count = 0

    def suspend(self, connection_id: int, now: timedelta) -> list[PoolAction]:
        """Free the slot of a transaction that waits for its caller's next statement."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.BUSY:
            return []
        self._record_answer(connection, now)
        self._finish_statement(connection, now)
        self._connections.move(connection, ConnectionState.HELD, now)
        return self._schedule(now)

    def resume(self, connection_id: int, now: timedelta) -> None:
        """Occupy a slot for the next statement of a held transaction."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.HELD:
            return
        self._slots.resume(connection.lane)
        self._connections.mark_busy(connection, connection.lane, now)

    def record_refusal(self, connection_id: int) -> None:
        """Record that the database refused or failed the running statement."""
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.has_refused = True

    def release(
        self,
        connection_id: int,
        reusable: bool,
        now: timedelta,
        is_evidence: bool = True,
    ) -> list[PoolAction]:
        """Return a connection to the pool at the end of its request.

        Parameters
        ----------
        connection_id : int
            Id of the connection.
        reusable : bool
            False if an answer is outstanding or the session state is unknown; the
            connection is then closed.
        now : timedelta
            Monotonic time.
        is_evidence : bool, default=True
            False if the end of the request shows nothing of how the database does:
            nothing was received, or the requester left while a statement ran.
        """
        connection = self._connections.get(connection_id)
        if connection is None or connection.state in _CLOSING_STATES:
            return []
        is_lost = not reusable and connection.state is ConnectionState.BUSY
        has_run = now - connection.state_since >= _MIN_SERVICE_TIME
        if is_lost and has_run and is_evidence:
            self._pace.record_failure(now)
        if not (reusable and connection.reusable):
            close = self._close(connection, "not reusable", now)
            return [close, *self._schedule(now)]
        if connection.state is ConnectionState.BUSY:
            if is_evidence:
                self._record_answer(connection, now)
            self._finish_statement(connection, now)
        self._make_idle(connection, now)
        return self._schedule(now)

    def record_check_result(
        self, connection_id: int, healthy: bool, now: timedelta
    ) -> list[PoolAction]:
        """Record the result of a check; a connection that failed it is closed."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is not ConnectionState.CHECKING:
            return []
        if healthy:
            return self._finish_pending(connection, now) + self._schedule(now)
        return [
            self._close_failed(connection, "check failed", now),
            *self._schedule(now),
        ]

    def record_probe_answer(
        self, connection_id: int, running: bool | None, now: timedelta
    ) -> list[PoolAction]:
        """Record the endpoint's answer to a probe about a silent connection.

        Parameters
        ----------
        connection_id : int
            Id of the silent connection.
        running : bool or None
            Whether its statement still runs; None if the endpoint does not know.
        now : timedelta
            Monotonic time.
        """
        connection = self._finish_probe(connection_id)
        if connection is None:
            return self._schedule(now)
        connection.next_probe_at = now + self._settings.probe_threshold
        if running is True:
            connection.not_running_count = 0
            connection.last_active_at = now
        if running is not False or not self._is_silent(connection, now):
            return self._schedule(now)
        connection.not_running_count += 1
        if connection.not_running_count < _MAX_NOT_RUNNING_ANSWERS:
            connection.next_probe_at = now
            return self.tick(now)
        return [self._close_failed(connection, "silent", now), *self._schedule(now)]

    def record_probe_failure(
        self, connection_id: int, now: timedelta
    ) -> list[PoolAction]:
        """Record that a probe got no answer.

        The connection stays open: the endpoint or the path to it is at fault.
        """
        connection = self._finish_probe(connection_id)
        if connection is not None:
            connection.next_probe_at = now + self._settings.probe_threshold
        return self._schedule(now)

    def record_closed(self, connection_id: int, now: timedelta) -> list[PoolAction]:
        """Remove a connection that either side has closed."""
        connection = self._connections.remove(connection_id)
        if connection is not None:
            if connection.state is ConnectionState.BUSY:
                self._finish_statement(connection, now)
            elif connection.occupies_slot:
                self._scheduler.abandon(connection)
        return self._schedule(now)

    def set_share(self, share: int, now: timedelta) -> list[PoolAction]:
        """Set the granted share of connections."""
        self._limit.set_share(share)
        return self._schedule(now)

    def set_slot_limits(
        self, slot_limit: int, report_slot_limit: int, now: timedelta
    ) -> list[PoolAction]:
        """Set the limits of statements and of reports that run at once."""
        self._slots.resize(slot_limit, report_slot_limit)
        self._pace.set_limit(self._slots.unpaced_total)
        return self._schedule(now)

    def set_term(self, term: int, now: timedelta) -> list[PoolAction]:
        """Raise the term.

        Connections opened in an earlier term are closed as soon as they are free.
        """
        self._term = max(term, self._term)
        actions = []
        for connection in self._connections:
            if connection.term < self._term:
                actions += self._retire(connection, "term superseded", now)
        return actions + self._schedule(now)

    def mark_replaced(
        self, term: int, is_answering: bool, now: timedelta
    ) -> list[PoolAction]:
        """Stop using the database after another one became the primary in ``term``.

        Waiting requests are refused, so that they go to the new primary. If the
        database still answers, running statements may end, so that each has a
        definite answer; otherwise all connections are closed.
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
        return actions + self._refuse_all(code)

    def start_draining(self, now: timedelta) -> list[PoolAction]:
        """Refuse new and waiting requests and close idle connections.

        Running statements and open transactions may end.
        """
        self._is_draining = True
        code = ResultCode.ENDPOINT_LEAVING
        actions: list[PoolAction] = [*self._refuse_all(code)]
        for connection in self._connections:
            actions += self._retire(connection, "endpoint leaving", now)
        return actions

    def stop_draining(self, now: timedelta) -> list[PoolAction]:
        """Accept new work again after a drain order was withdrawn."""
        self._is_draining = False
        return self._schedule(now)

    def close_all(self, reason: str, now: timedelta) -> list[PoolAction]:
        """Close every connection, including those that run a statement."""
        remaining = [c for c in self._connections if c.state not in _CLOSING_STATES]
        return [self._close(connection, reason, now) for connection in remaining]

    def tick(self, now: timedelta) -> list[PoolAction]:
        """Handle every timeout and deadline that has passed."""
        actions: list[PoolAction] = [*self._refuse_late(now)]
        for connection in self._connections:
            actions += self._check_timeouts(connection, now)
        return actions + self._schedule(now)

    def _check_timeouts(
        self, connection: PooledConnection, now: timedelta
    ) -> list[PoolAction]:
        settings = self._settings
        elapsed = now - connection.state_since
        if connection.state is ConnectionState.CHECKING:
            if elapsed >= settings.check_timeout:
                return [self._close_failed(connection, "check unanswered", now)]
        if (
            connection.state is ConnectionState.IDLE
            and elapsed >= settings.idle_timeout
            and not self._is_kept(connection, elapsed)
        ):
            return [self._close(connection, "idle", now)]
        if connection.state is ConnectionState.BUSY:
            return self._check_progress(connection, now)
        return []

    def _is_kept(self, connection: PooledConnection, idle_time: timedelta) -> bool:
        kept_time = self._settings.idle_timeout * _ONLY_CONNECTION_IDLE_FACTOR
        if not connection.organisation or idle_time >= kept_time:
            return False
        return self._scheduler.is_only_connection(connection)

    def _check_progress(
        self, connection: PooledConnection, now: timedelta
    ) -> list[PoolAction]:
        if now - connection.last_active_at >= self._settings.silence_timeout:
            return [self._close_failed(connection, "silent", now)]
        inactive_time = now - connection.last_active_at
        if (
            inactive_time >= self._settings.stall_threshold
            and not connection.has_stalled
        ):
            # A fault that silenced this connection, such as a firewall that dropped
            # its state, may have silenced idle ones too: check them before use.
            connection.has_stalled = True
            self._last_stall_at = now
        if connection.probing or now < connection.next_probe_at:
            return []
        if not self._is_silent(connection, now):
            return []
        if connection.connection_id in self._probes or not self._can_probe(now):
            connection.next_probe_at = now + self._settings.probe_threshold
            return []
        connection.probing = True
        self._probes.add(connection.connection_id)
        return [ProbeEndpoint(connection.connection_id)]

    def _is_silent(self, connection: PooledConnection, now: timedelta) -> bool:
        inactive_time = now - connection.last_active_at
        is_busy = connection.state is ConnectionState.BUSY
        return is_busy and inactive_time >= self._settings.probe_threshold

    def _can_probe(self, now: timedelta) -> bool:
        return self.open_count < self._limit.current(now)

    def _finish_probe(self, connection_id: int) -> PooledConnection | None:
        self._probes.discard(connection_id)
        connection = self._connections.get(connection_id)
        if connection is None or not connection.probing:
            return None
        connection.probing = False
        return connection

    def _record_answer(self, connection: PooledConnection, now: timedelta) -> None:
        if connection.has_refused:
            self._pace.record_failure(now)
        else:
            service_time = now - connection.state_since
            self._pace.record_answer(connection.lane, service_time, now)

    def _finish_statement(self, connection: PooledConnection, now: timedelta) -> None:
        self._queues.finish(connection.lane, now - connection.state_since)

    def _finish_pending(
        self, connection: PooledConnection, now: timedelta
    ) -> list[PoolAction]:
        if connection.occupies_slot:
            self._slots.set_window(self._pace.window(now))
            return self._scheduler.finish(connection, now)
        self._make_idle(connection, now)
        return []

    def _refuse_late(self, now: timedelta) -> list[RefuseRequest]:
        if not self._has_organisations:
            return self._queues.refuse_late(now)
        late = self._queues.refuse_late(now, self._scheduler.opening_time)
        return late + self._scheduler.refuse_late(now)

    def _refuse_all(self, code: ResultCode) -> list[RefuseRequest]:
        refusals = self._queues.refuse_all(code, timedelta(0))
        return refusals + self._scheduler.refuse_pending(code, timedelta(0))

    def _make_idle(self, connection: PooledConnection, now: timedelta) -> None:
        connection.last_active_at = now
        self._connections.move(connection, ConnectionState.IDLE, now)

    def _retire(
        self, connection: PooledConnection, reason: str, now: timedelta
    ) -> list[PoolAction]:
        """Close a connection that is free; let one in use be closed at its release."""
        connection.reusable = False
        if connection.state in (ConnectionState.BUSY, ConnectionState.HELD):
            return []
        if connection.state in _CLOSING_STATES:
            return []
        return [self._close(connection, reason, now)]

    def _close_failed(
        self, connection: PooledConnection, reason: str, now: timedelta
    ) -> CloseConnection:
        close = self._close(connection, reason, now)
        self._connections.move(connection, ConnectionState.FAILED, now)
        return close

    def _close(
        self, connection: PooledConnection, reason: str, now: timedelta
    ) -> CloseConnection:
        if connection.state is ConnectionState.BUSY:
            self._finish_statement(connection, now)
        elif connection.occupies_slot:
            self._scheduler.abandon(connection)
        self._connections.move(connection, ConnectionState.CLOSING, now)
        return CloseConnection(connection.connection_id, reason)

    def _schedule(self, now: timedelta) -> list[PoolAction]:
        self._slots.set_window(self._pace.window(now))
        actions: list[PoolAction] = []
        actions += self._close_surplus(now)
        if self._has_organisations:
            if self.waiting_count:
                room = self._compute_room(now)
                actions += self._scheduler.schedule(room, self._term, now)
            return actions + self._refuse_beyond_window(now)
        actions += self._grant_connections(now)
        actions += self._refuse_beyond_window(now)
        actions += self._open_connections(now)
        return actions

    @property
    def _in_flight_count(self) -> int:
        """Requests that occupy a slot or wait for one."""
        return self._slots.running_count + len(self._queues)

    def _is_window_full(self, now: timedelta) -> bool:
        admitted = self._pace.admitted(now)
        return admitted is not None and self._in_flight_count >= admitted

    def _name_pace(self, refusal: RefuseRequest, now: timedelta) -> RefuseRequest:
        """Return the refusal of a new request, by the pace if its window is full.

        Its sender then tries another database, without a token of the retry budget.
        """
        if not self._is_window_full(now):
            return refusal
        retry_after_ms = -(-self._pace.retry_after(now) // timedelta(milliseconds=1))
        code = ResultCode.ENDPOINT_BUSY
        return RefuseRequest(refusal.request_id, code, max(1, retry_after_ms))

    def _refuse_beyond_window(self, now: timedelta) -> list[PoolAction]:
        """Refuse what waits for the window, if another database can do the work."""
        admitted = self._pace.admitted(now) if len(self._queues) else None
        if admitted is None:
            return []
        kept_count = max(0, admitted - self._slots.running_count)
        code = ResultCode.ENDPOINT_BUSY
        retry_after = self._pace.retry_after(now)
        return [*self._queues.refuse_all(code, retry_after, kept_count=kept_count)]

    def _close_surplus(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        limit = self._limit.current(now)
        while self._connections.remaining_count() > limit:
            unused = self._choose_surplus(now)
            if unused is None:
                break
            actions.append(self._close(unused, "share shrank", now))
        return actions

    def _choose_surplus(self, now: timedelta) -> PooledConnection | None:
        if self._has_organisations:
            return self._scheduler.choose_surplus(now)
        return self._connections.least_recently_active_unused()

    def _grant_connections(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        while True:
            connection = self._connections.most_recently_active_idle()
            if connection is None or not self._queues.has_next():
                return actions
            if self._needs_check(connection, now):
                return actions + self._check_connections(now)
            request = self._queues.next_request()
            self._connections.mark_busy(connection, request.lane, now)
            self._counts.record_grant(connection)
            grant = GrantConnection(request.request_id, connection.connection_id)
            actions.append(grant)

    def _needs_check(
        self, connection: PooledConnection, now: timedelta, is_repeatable: bool = False
    ) -> bool:
        inactive_time = now - connection.last_active_at
        if connection.last_active_at <= self._last_stall_at:
            return True
        if inactive_time > self._settings.idle_check_after and not is_repeatable:
            return True
        if not connection.organisation:
            return False
        # One that is kept longer than others.
        return now - connection.state_since > self._settings.idle_timeout

    def _check_connections(self, now: timedelta) -> list[PoolAction]:
        actions: list[PoolAction] = []
        checking_count = self._connections.count(ConnectionState.CHECKING)
        for _ in range(self._queues.startable_count() - checking_count):
            connection = self._connections.most_recently_active_idle()
            if connection is None:
                break
            self._connections.move(connection, ConnectionState.CHECKING, now)
            actions.append(CheckConnection(connection.connection_id))
        return actions

    def _open_connections(self, now: timedelta) -> list[PoolAction]:
        if not self._may_open(now):
            return []
        room_count = self._opening_limit(now) - self.open_count
        if room_count <= 0:
            return []
        soon_usable_count = self._connections.count(
            ConnectionState.OPENING, ConnectionState.CHECKING
        )
        missing_count = self._queues.startable_count() - soon_usable_count
        actions: list[PoolAction] = []
        for _ in range(min(missing_count, room_count)):
            connection = self._connections.add(self._term, now)
            actions.append(OpenConnection(connection.connection_id, connection.term))
        return actions

    def _may_open(self, now: timedelta) -> bool:
        return not self._is_draining and now >= self._next_open_at

    def _opening_limit(self, now: timedelta) -> int:
        limit = self._limit.current(now)
        if limit >= _MIN_LIMIT_WITH_PROBES and not self._probes:
            limit -= self._settings.probe_reserve
        return limit

    def _compute_room(self, now: timedelta) -> OpeningRoom:
        if not self._may_open(now):
            return OpeningRoom(0, 0, 0, False)
        limit = self._opening_limit(now)
        closing_count = self._connections.count(*_CLOSING_STATES)
        return OpeningRoom(limit, limit - self.open_count, closing_count, limit > 0)

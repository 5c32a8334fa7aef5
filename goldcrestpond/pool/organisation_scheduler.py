"""Assigns connections, each of which serves one organisation, to waiting requests."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from ..errors.result_code import ResultCode
from .check_connection import CheckConnection
from .close_connection import CloseConnection
from .connection_state import ConnectionState
from .connection_table import ConnectionTable
from .grant_connection import GrantConnection
from .lane import Lane
from .lane_queues import LaneQueues
from .lane_slots import LaneSlots
from .open_connection import OpenConnection
from .opening_room import OpeningRoom
from .pool_action import PoolAction
from .pool_counts import PoolCounts
from .pooled_connection import PooledConnection
from .refuse_request import RefuseRequest
from .service_estimate import ServiceEstimate
from .slot_request import SlotRequest
from .use_score import UseScore

# Connections that organisations which have one already leave unused, so that another
# one can open its first.
RESERVE_COUNT = 1
# With a connection limit below this, no connection is reserved.
_MIN_LIMIT_WITH_RESERVE = 4
# Several round trips and a login.
OPENING_TIME = timedelta(milliseconds=12)
# However slow openings have become, requests that have more time than this still cause
# one, so that it is noticed when openings are fast again.
_MAX_OPENING_TIME = timedelta(milliseconds=50)
# An opening for which another organisation's connection is closed causes a second one,
# when that organisation needs its connection again.
_OPENINGS_PER_CLOSE = 2
# Organisations with a lower score are forgotten; a single use falls below it within
# seven times the half-life.
_MIN_SCORE = 0.01
_IN_USE_STATES = (
    ConnectionState.BUSY,
    ConnectionState.HELD,
    ConnectionState.OPENING,
    ConnectionState.CHECKING,
)
# Connections in these states are idle by the end of a statement at the latest.
_SOON_IDLE_STATES = (
    ConnectionState.IDLE,
    ConnectionState.BUSY,
    ConnectionState.CHECKING,
)
# Gets the connection, the time, and whether what it is for may run twice.
NeedsCheck = Callable[[PooledConnection, timedelta, bool], bool]


class OrganisationScheduler:
    """Grants, checks, opens and closes connections in the order of the queues.

    A request whose connection has to be opened or checked first leaves the queues and
    occupies its slot from then on; it is granted that connection, or one of its
    organisation that becomes idle before. Requests behind it use the other slots.

    Parameters
    ----------
    connections : ConnectionTable
        Connections of the pool.
    queues : LaneQueues
        Waiting requests.
    slots : LaneSlots
        Slots of the database.
    counts : PoolCounts
        Updated with what is done.
    needs_check : callable
        Returns whether an idle connection is to be checked before use at a time.
    """

    __slots__ = (
        "_connections",
        "_counts",
        "_needs_check",
        "_opening_time",
        "_orphans",
        "_pending",
        "_queues",
        "_slots",
        "_uses",
    )

    def __init__(
        self,
        connections: ConnectionTable,
        queues: LaneQueues,
        slots: LaneSlots,
        counts: PoolCounts,
        needs_check: NeedsCheck,
    ):
        self._needs_check = needs_check
        self._connections = connections
        self._queues = queues
        self._slots = slots
        self._counts = counts
        self._opening_time = ServiceEstimate(OPENING_TIME)
        self._pending: dict[int, PooledConnection] = {}
        # Openings and checks whose request was served otherwise or waits no longer.
        self._orphans: dict[int, PooledConnection] = {}
        self._uses: dict[str, UseScore] = {}

    @property
    def pending_count(self) -> int:
        """Number of requests for which a connection is being opened or checked."""
        return len(self._pending)

    def opening_time(self, organisation: str) -> timedelta:
        """Return how long a request waits for an opening once it has a slot.

        It is 0 if the organisation has a connection that is idle by then.
        """
        for connection in self._connections.of_organisation(organisation):
            if connection.state in _SOON_IDLE_STATES:
                return timedelta(0)
        return self._expected_opening_time()

    def opening_cost(self, organisation: str, has_room: bool) -> timedelta:
        """Return what a connection for a request costs, 0 if one is open.

        Without room for it another organisation's is closed, which causes a second
        opening.
        """
        opening_time = self.opening_time(organisation)
        return opening_time if has_room else opening_time * _OPENINGS_PER_CLOSE

    def schedule(
        self, room: OpeningRoom, term: int, now: timedelta
    ) -> list[PoolAction]:
        """Serve the waiting requests that have a slot, in order.

        A request that cannot get a connection now does not hold up those of other
        organisations.
        """
        actions = self._grant_to_pending(now)
        skipped: set[str] = set()
        while self._serve_next(room, term, now, skipped, actions):
            pass
        return actions

    def _serve_next(
        self,
        room: OpeningRoom,
        term: int,
        now: timedelta,
        skipped: set[str],
        actions: list[PoolAction],
    ) -> bool:
        """Serve or refuse the next request; return False if none can be.

        Organisations of which no request can be served now are added to ``skipped``.
        """
        if not len(self._queues):
            return False
        can_obtain = self._can_obtain(room)
        has_idle = self._connections.count(ConnectionState.IDLE) > 0
        if not (can_obtain or has_idle or self._orphans):
            return False
        for request in self._queues.candidates():
            organisation = request.requester.organisation
            if organisation in skipped:
                continue
            connection = self._connections.last_used_idle(organisation)
            if connection is not None:
                self._queues.start(request)
                actions.append(self._use(connection, request, now))
                return True
            if self._orphans and self._adopt(request):
                return True
            if not can_obtain:
                continue
            action = self._obtain(request, room, term, now)
            if action is not None:
                actions.append(action)
            if isinstance(action, OpenConnection | RefuseRequest):
                return True
            skipped.add(organisation)
            can_obtain = self._can_obtain(room)
        return False

    def _can_obtain(self, room: OpeningRoom) -> bool:
        """Return whether a connection may be opened, or closed for one.

        Room is made for no more requests than there are free slots.
        """
        if room.claimed_count >= self._slots.free_count:
            return False
        if room.free_count + room.closing_count > 0:
            return True
        return room.may_close and self._connections.count(ConnectionState.IDLE) > 0

    def may_open_ahead(self, room: OpeningRoom) -> bool:
        """Return whether a connection may be opened that nobody waits for.

        Only while nobody waits and both a slot and room are free, the reserve aside;
        none is closed for it.
        """
        is_idle = not len(self._queues) and self._slots.admits(Lane.SHORT)
        return is_idle and room.free_count > RESERVE_COUNT

    def open_ahead(
        self, organisation: str, room: OpeningRoom, term: int, now: timedelta
    ) -> OpenConnection | None:
        """Open the first connection of an organisation before anybody waits for it.

        None if it has one. `may_open_ahead` tells when this may be called.
        """
        if any(True for _ in self._connections.of_organisation(organisation)):
            return None
        connection = self._connections.add(term, now, organisation)
        connection.lane = Lane.SHORT
        connection.occupies_slot = True
        self._slots.start(Lane.SHORT)
        self._orphans[connection.connection_id] = connection
        return OpenConnection(connection.connection_id, term, organisation)

    def finish(self, connection: PooledConnection, now: timedelta) -> list[PoolAction]:
        """Grant a connection that was opened or checked to the request it was for.

        If the request no longer waits, the connection becomes idle.
        """
        if connection.state is ConnectionState.OPENING:
            duration = now - connection.state_since
            self._opening_time.add(duration)
            self._queues.record_opening_cost(duration)
        request = connection.request
        self._unbind(connection)
        if request is not None and now <= request.deadline:
            # Transactions that went on meanwhile may run beyond the limit.
            if self._slots.admits(request.lane):
                self._slots.resume(request.lane)
                return [self._grant(connection, request, now)]
            self._queues.put_back(request)
            request = None
        connection.last_active_at = now
        self._connections.move(connection, ConnectionState.IDLE, now)
        if request is None:
            return []
        return [self._queues.refuse(request, ResultCode.QUEUE_DEADLINE, timedelta(0))]

    def abandon(self, connection: PooledConnection) -> None:
        """Let the request wait again whose connection was not opened or checked."""
        request = connection.request
        self._unbind(connection)
        if request is not None:
            self._queues.put_back(request)

    def remove(self, request_id: int) -> None:
        """Remove a pending request that its caller has cancelled."""
        for connection in self._pending.values():
            if connection.request.request_id == request_id:
                self._release_request(connection)
                return

    def refuse_late(self, now: timedelta) -> list[RefuseRequest]:
        """Refuse the pending requests whose deadline has passed."""
        late = [c for c in self._pending.values() if now >= c.request.deadline]
        refusals = []
        for connection in late:
            request = self._release_request(connection)
            code = ResultCode.QUEUE_DEADLINE
            refusals.append(self._queues.refuse(request, code, timedelta(0)))
        return refusals

    def refuse_pending(
        self, code: ResultCode, retry_after: timedelta
    ) -> list[RefuseRequest]:
        """Refuse every pending request."""
        requests = [self._release_request(c) for c in list(self._pending.values())]
        return [self._queues.refuse(request, code, retry_after) for request in requests]

    def choose_surplus(self, now: timedelta) -> PooledConnection | None:
        """Return the unused connection to close when the limit is lowered, or None."""
        idle = self._choose_least_useful(self._connections.idle(), now)
        return idle or self._connections.least_recently_active_unused()

    def is_only_connection(self, connection: PooledConnection) -> bool:
        """Return whether a connection is the only one of a named organisation."""
        own = self._connections.of_organisation(connection.organisation)
        return all(other is connection for other in own)

    def _grant_to_pending(self, now: timedelta) -> list[PoolAction]:
        """Grant connections that became idle before those that are being opened."""
        actions: list[PoolAction] = []
        for connection in list(self._pending.values()):
            idle = self._connections.last_used_idle(connection.organisation)
            if idle is None or not self._slots.admits(connection.lane):
                continue
            is_checked = connection.state is ConnectionState.CHECKING
            is_repeatable = connection.request.requester.is_repeatable
            if is_checked and self._needs_check(idle, now, is_repeatable):
                continue
            request = self._release_request(connection)
            self._slots.start(request.lane)
            actions.append(self._use(idle, request, now))
        return actions

    def _use(
        self, connection: PooledConnection, request: SlotRequest, now: timedelta
    ) -> PoolAction:
        """Grant or check an idle connection for a request that occupies a slot."""
        if self._needs_check(connection, now, request.requester.is_repeatable):
            self._bind(connection, request)
            self._connections.move(connection, ConnectionState.CHECKING, now)
            return CheckConnection(connection.connection_id)
        self._queues.record_opening_cost(timedelta(0))
        return self._grant(connection, request, now)

    def _adopt(self, request: SlotRequest) -> bool:
        """Bind a request to an opening or a check of its organisation, if one is free.

        That occupies a slot already, so the request occupies none of its own.
        """
        organisation = request.requester.organisation
        for connection in self._orphans.values():
            is_same_lane = connection.lane is request.lane
            if connection.organisation == organisation and is_same_lane:
                self._queues.start(request)
                self._slots.finish(request.lane)
                del self._orphans[connection.connection_id]
                connection.request = request
                self._pending[connection.connection_id] = connection
                return True
        return False

    def _obtain(
        self, request: SlotRequest, room: OpeningRoom, term: int, now: timedelta
    ) -> PoolAction | None:
        """Open a connection for a request, make room for it, or refuse the request.

        None if the request has to wait.
        """
        organisation = request.requester.organisation
        own = list(self._connections.of_organisation(organisation))
        opening_time = self._expected_opening_time()
        if now + opening_time > request.deadline:
            if own:
                return None
            self._queues.remove(request.request_id)
            return self._queues.refuse(request, ResultCode.OVERLOADED, opening_time)
        if own and not self._leaves_reserve(room.limit):
            return None
        if room.take():
            self._queues.start(request)
            connection = self._connections.add(term, now, organisation)
            self._bind(connection, request)
            return OpenConnection(connection.connection_id, term, organisation)
        if self._is_served_soon(request, own) or room.take_closing():
            return None
        return self._close_for_room(room, organisation, now)

    def _is_served_soon(
        self, request: SlotRequest, own: list[PooledConnection]
    ) -> bool:
        """Return whether an organisation's connections in use suffice for it.

        They do if they take less time for its waiting requests than the openings that
        closing another's connection causes.
        """
        usable_count = sum(map(_is_usable_soon, own))
        waiting_count = self._queues.count_waiting(request.requester.organisation)
        service_time = self._queues.mean_service_time(request.lane)
        opening_time = self._opening_time.mean * _OPENINGS_PER_CLOSE
        return waiting_count * service_time <= usable_count * opening_time

    def _leaves_reserve(self, limit: int) -> bool:
        if limit < _MIN_LIMIT_WITH_RESERVE:
            return True
        return self._connections.count(*_IN_USE_STATES) + RESERVE_COUNT < limit

    def _close_for_room(
        self, room: OpeningRoom, organisation: str, now: timedelta
    ) -> CloseConnection | None:
        if not room.may_close:
            return None
        others = (c for c in self._connections.idle() if c.organisation != organisation)
        connection = self._choose_least_useful(others, now)
        if connection is None:
            return None
        room.claimed_count += 1
        self._connections.move(connection, ConnectionState.CLOSING, now)
        self._counts.closed_for_room += 1
        return CloseConnection(
            connection.connection_id, "room for another organisation"
        )

    def _choose_least_useful(
        self, idle: Iterable[PooledConnection], now: timedelta
    ) -> PooledConnection | None:
        """Return the idle connection that is least likely to be missed.

        Those of organisations that wait are closed last; of these it is the one whose
        turn comes last. Of the others, it is the one with the lowest score of recent
        uses: the connection's, or the organisation's if it has no other connection.
        """
        order = self._queues.waiting_order()
        turns = {organisation: turn for turn, organisation in enumerate(order)}

        def usefulness(connection: PooledConnection) -> tuple[bool, float, timedelta]:
            turn = turns.get(connection.organisation)
            if turn is not None:
                return True, -turn, connection.state_since
            return False, self._score(connection, now), connection.state_since

        return min(idle, key=usefulness, default=None)

    def _score(self, connection: PooledConnection, now: timedelta) -> float:
        uses = connection.uses
        if self.is_only_connection(connection):
            uses = self._uses.get(connection.organisation, uses)
        return uses.compute(now)

    def _grant(
        self, connection: PooledConnection, request: SlotRequest, now: timedelta
    ) -> GrantConnection:
        """Grant a connection to a request that occupies a slot."""
        self._connections.mark_busy(connection, request.lane, now)
        self._counts.record_grant(connection)
        connection.uses.add(now)
        self._record_use(request.requester.organisation, now)
        return GrantConnection(request.request_id, connection.connection_id)

    def _record_use(self, organisation: str, now: timedelta) -> None:
        uses = self._uses.get(organisation)
        if uses is None:
            self._uses = {
                name: known
                for name, known in self._uses.items()
                if known.compute(now) >= _MIN_SCORE
            }
            uses = self._uses[organisation] = UseScore()
        uses.add(now)

    def _expected_opening_time(self) -> timedelta:
        return min(self._opening_time.mean, _MAX_OPENING_TIME)

    def _bind(self, connection: PooledConnection, request: SlotRequest) -> None:
        connection.request = request
        connection.lane = request.lane
        connection.occupies_slot = True
        self._pending[connection.connection_id] = connection

    def _unbind(self, connection: PooledConnection) -> None:
        """Separate a connection from its request and free its slot."""
        self._slots.finish(connection.lane)
        self._pending.pop(connection.connection_id, None)
        self._orphans.pop(connection.connection_id, None)
        connection.request = None
        connection.occupies_slot = False

    def _release_request(self, connection: PooledConnection) -> SlotRequest:
        """Separate a request from its connection, which keeps its slot until open."""
        del self._pending[connection.connection_id]
        self._orphans[connection.connection_id] = connection
        request = connection.request
        connection.request = None
        return request


def _is_usable_soon(connection: PooledConnection) -> bool:
    if connection.state is ConnectionState.BUSY:
        return not connection.has_stalled
    return connection.state in (ConnectionState.OPENING, ConnectionState.CHECKING)

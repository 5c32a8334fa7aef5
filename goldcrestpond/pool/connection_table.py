"""Connections of one pool, with their states."""

from collections.abc import Iterator
from datetime import timedelta

from .connection_state import ConnectionState
from .lane import Lane
from .pooled_connection import PooledConnection

_CLOSING_STATES = (ConnectionState.FAILED, ConnectionState.CLOSING)
_UNUSED_STATES = (
    ConnectionState.IDLE,
    ConnectionState.OPENING,
    ConnectionState.CHECKING,
)


class ConnectionTable:
    """Connections by id; each one counts as open until it is removed.

    The counts by state and the idle connections of each organisation are updated at
    each change of state, so that they need no scan of all connections.
    """

    __slots__ = ("_by_organisation", "_connections", "_counts", "_idle", "_next_id")

    def __init__(self) -> None:
        self._connections: dict[int, PooledConnection] = {}
        self._counts = dict.fromkeys(ConnectionState, 0)
        self._by_organisation: dict[str, dict[int, PooledConnection]] = {}
        self._idle: dict[str, dict[int, PooledConnection]] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[PooledConnection]:
        return iter(list(self._connections.values()))

    def get(self, connection_id: int) -> PooledConnection | None:
        """Return a connection, or None if it was removed."""
        return self._connections.get(connection_id)

    def add(
        self, term: int, now: timedelta, organisation: str = ""
    ) -> PooledConnection:
        """Add a connection that is about to be opened for an organisation."""
        connection = PooledConnection(
            self._next_id,
            term,
            ConnectionState.OPENING,
            now,
            now,
            organisation=organisation,
        )
        self._connections[connection.connection_id] = connection
        own = self._by_organisation.setdefault(organisation, {})
        own[connection.connection_id] = connection
        self._counts[connection.state] += 1
        self._next_id += 1
        return connection

    def remove(self, connection_id: int) -> PooledConnection | None:
        """Remove a connection that is closed; return None if it is not known."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            self._counts[connection.state] -= 1
            self._remove_idle(connection)
            own = self._by_organisation[connection.organisation]
            del own[connection_id]
            if not own:
                del self._by_organisation[connection.organisation]
        return connection

    def move(
        self, connection: PooledConnection, state: ConnectionState, now: timedelta
    ) -> None:
        """Change the state of a connection."""
        self._counts[connection.state] -= 1
        self._counts[state] += 1
        if connection.state is ConnectionState.IDLE:
            self._remove_idle(connection)
        if state is ConnectionState.IDLE:
            idle = self._idle.setdefault(connection.organisation, {})
            idle[connection.connection_id] = connection
        connection.state = state
        connection.state_since = now

    def mark_busy(
        self, connection: PooledConnection, lane: Lane, now: timedelta
    ) -> None:
        """Mark a connection as running a statement that starts now."""
        self.move(connection, ConnectionState.BUSY, now)
        connection.lane = lane
        connection.last_active_at = now
        connection.next_probe_at = now
        connection.not_running_count = 0
        connection.has_stalled = False
        connection.has_refused = False
        connection.probing = False

    def count(self, *states: ConnectionState) -> int:
        """Count the connections in any of the states."""
        total = 0
        for state in states:
            total += self._counts[state]
        return total

    def remaining_count(self) -> int:
        """Count the connections that are not being closed."""
        return len(self) - self.count(*_CLOSING_STATES)

    def most_recently_active_idle(
        self, organisation: str = ""
    ) -> PooledConnection | None:
        """Return the organisation's idle connection with the latest activity, or None.

        Of equally active ones it is the first that became idle.
        """
        idle = self._idle.get(organisation)
        if idle is None:
            return None
        return max(idle.values(), key=lambda c: c.last_active_at)

    def last_used_idle(self, organisation: str) -> PooledConnection | None:
        """Return the connection that became idle last, or None.

        Those that are not needed thereby stay unused and can be closed.
        """
        idle = self._idle.get(organisation)
        return None if idle is None else next(reversed(idle.values()))

    def idle(self) -> Iterator[PooledConnection]:
        """Yield the idle connections of all organisations."""
        for connections in self._idle.values():
            yield from connections.values()

    def of_organisation(self, organisation: str) -> Iterator[PooledConnection]:
        """Yield the organisation's connections that are not being closed."""
        for connection in self._by_organisation.get(organisation, {}).values():
            if connection.state not in _CLOSING_STATES:
                yield connection

    def least_recently_active_unused(self) -> PooledConnection | None:
        """Return the unused connection with the earliest activity, or None."""
        unused = [c for c in self if c.state in _UNUSED_STATES]
        return min(unused, key=lambda c: c.last_active_at, default=None)

    def _remove_idle(self, connection: PooledConnection) -> None:
        idle = self._idle.get(connection.organisation)
        if idle is None:
            return
        idle.pop(connection.connection_id, None)
        if not idle:
            del self._idle[connection.organisation]

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

    The counts by state and the set of idle connections are updated at each change of
    state, so that they need no scan of all connections.
    """

    __slots__ = ("_connections", "_counts", "_idle", "_next_id")

    def __init__(self) -> None:
        self._connections: dict[int, PooledConnection] = {}
        self._counts = dict.fromkeys(ConnectionState, 0)
        self._idle: dict[int, PooledConnection] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[PooledConnection]:
        return iter(list(self._connections.values()))

    def get(self, connection_id: int) -> PooledConnection | None:
        """Return a connection, or None if it was removed."""
        return self._connections.get(connection_id)

    def add(self, term: int, now: timedelta) -> PooledConnection:
        """Add a connection that is about to be opened."""
        connection = PooledConnection(
            self._next_id, term, ConnectionState.OPENING, now, now
        )
        self._connections[connection.connection_id] = connection
        self._counts[connection.state] += 1
        self._next_id += 1
        return connection

    def remove(self, connection_id: int) -> PooledConnection | None:
        """Remove a connection that is closed; return None if it is not known."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            self._counts[connection.state] -= 1
            self._idle.pop(connection_id, None)
        return connection

    def move(
        self, connection: PooledConnection, state: ConnectionState, now: timedelta
    ) -> None:
        """Change the state of a connection."""
        self._counts[connection.state] -= 1
        self._counts[state] += 1
        if state is ConnectionState.IDLE:
            self._idle[connection.connection_id] = connection
        else:
            self._idle.pop(connection.connection_id, None)
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

    def most_recently_active_idle(self) -> PooledConnection | None:
        """Return the idle connection with the latest activity, or None."""
        idle = self._idle.values()
        return max(idle, key=lambda c: c.last_active_at, default=None)

    def least_recently_active_unused(self) -> PooledConnection | None:
        """Return the unused connection with the earliest activity, or None."""
        unused = [c for c in self if c.state in _UNUSED_STATES]
        return min(unused, key=lambda c: c.last_active_at, default=None)

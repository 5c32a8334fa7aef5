"""The connections of one pool and their states."""

from collections.abc import Iterator
from datetime import timedelta

from .connection_state import ConnectionState
from .lane import Lane
from .pooled_connection import PooledConnection

_LEAVING = (ConnectionState.CONDEMNED, ConnectionState.CLOSING)
_UNUSED = (ConnectionState.IDLE, ConnectionState.OPENING, ConnectionState.CHECKING)


class ConnectionTable:
    """Connections by number; each entry counts as open until it is removed.

    Counts and idle connections are kept as they change, so that a request costs
    the same however many connections there are.
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
        """Enter a connection that is about to be opened."""
        connection = PooledConnection(
            self._next_id, term, ConnectionState.OPENING, now, now
        )
        self._connections[connection.connection_id] = connection
        self._counts[connection.state] += 1
        self._next_id += 1
        return connection

    def remove(self, connection_id: int) -> PooledConnection | None:
        """Forget a connection that is closed."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            self._counts[connection.state] -= 1
            self._idle.pop(connection_id, None)
        return connection

    def move(
        self, connection: PooledConnection, state: ConnectionState, now: timedelta
    ) -> None:
        """Move a connection to another state."""
        self._counts[connection.state] -= 1
        self._counts[state] += 1
        if state is ConnectionState.IDLE:
            self._idle[connection.connection_id] = connection
        else:
            self._idle.pop(connection.connection_id, None)
        connection.state = state
        connection.state_since = now

    def occupy(self, connection: PooledConnection, lane: Lane, now: timedelta) -> None:
        """Mark a connection as running a statement that starts now."""
        self.move(connection, ConnectionState.BUSY, now)
        connection.lane = lane
        connection.last_progress = now
        connection.probe_after = now
        connection.missing_count = 0
        connection.doubted = False
        connection.probing = False

    def count(self, *states: ConnectionState) -> int:
        """Count the connections in any of the states."""
        total = 0
        for state in states:
            total += self._counts[state]
        return total

    def remaining_count(self) -> int:
        """Count the connections that are not on their way out."""
        return len(self) - self.count(*_LEAVING)

    def freshest_idle(self) -> PooledConnection | None:
        """Return the idle connection that was heard last."""
        idle = self._idle.values()
        return max(idle, key=lambda c: c.last_progress, default=None)

    def stalest_unused(self) -> PooledConnection | None:
        """Return the connection that is cheapest to give up, or None."""
        unused = [c for c in self if c.state in _UNUSED]
        return min(unused, key=lambda c: c.last_progress, default=None)

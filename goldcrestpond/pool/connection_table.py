"""The connections of one pool and their states."""

from collections.abc import Iterator
from datetime import timedelta

from .connection_state import ConnectionState
from .lane import Lane
from .pooled_connection import PooledConnection

_LEAVING = (ConnectionState.CONDEMNED, ConnectionState.CLOSING)
_UNUSED = (ConnectionState.IDLE, ConnectionState.OPENING, ConnectionState.CHECKING)


class ConnectionTable:
    """Connections by number; each entry counts as open until it is removed."""

    __slots__ = ("_connections", "_next_id")

    def __init__(self) -> None:
        self._connections: dict[int, PooledConnection] = {}
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
        self._next_id += 1
        return connection

    def remove(self, connection_id: int) -> PooledConnection | None:
        """Forget a connection that is closed."""
        return self._connections.pop(connection_id, None)

    def move(
        self, connection: PooledConnection, state: ConnectionState, now: timedelta
    ) -> None:
        """Move a connection to another state."""
        connection.state = state
        connection.state_since = now

    def occupy(self, connection: PooledConnection, lane: Lane, now: timedelta) -> None:
        """Mark a connection as running a statement that starts now."""
        self.move(connection, ConnectionState.BUSY, now)
        connection.lane = lane
        connection.last_progress = now
        connection.probe_after = now
        connection.missing_count = 0
        connection.probing = False

    def count(self, *states: ConnectionState) -> int:
        """Count the connections in any of the states."""
        return sum(c.state in states for c in self._connections.values())

    def remaining_count(self) -> int:
        """Count the connections that are not on their way out."""
        return len(self) - self.count(*_LEAVING)

    def freshest_idle(self) -> PooledConnection | None:
        """Return the idle connection that was heard last."""
        idle = [c for c in self if c.state is ConnectionState.IDLE]
        return max(idle, key=lambda c: c.last_progress, default=None)

    def stalest_unused(self) -> PooledConnection | None:
        """Return the connection that is cheapest to give up, or None."""
        unused = [c for c in self if c.state in _UNUSED]
        return min(unused, key=lambda c: c.last_progress, default=None)

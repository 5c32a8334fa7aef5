"""Counts of what a pool has done since it was made."""

from dataclasses import dataclass

from .pooled_connection import PooledConnection


@dataclass(slots=True)
class PoolCounts:
    """Counts of one pool, for its metrics.

    Attributes
    ----------
    hits : int
        Requests that were granted a connection which had served others before.
    misses : int
        Requests that were granted a connection which was opened for its first use.
    closed_for_room : int
        Idle connections that were closed to make room for another organisation's.
    """

    hits: int = 0
    misses: int = 0
    closed_for_room: int = 0

    def record_grant(self, connection: PooledConnection) -> None:
        """Count the grant of a connection, which is used from then on."""
        if connection.is_unused:
            self.misses += 1
            connection.is_unused = False
        else:
            self.hits += 1

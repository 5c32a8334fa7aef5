"""Action: close a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, even if it runs a statement.

    The caller reports the end by `DatabasePool.record_closed`.
    """

    connection_id: int
    reason: str

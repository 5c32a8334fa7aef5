"""Action: close a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, whatever it does; report ``closed`` afterwards."""

    connection_id: int
    reason: str

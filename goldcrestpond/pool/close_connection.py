"""Action: close a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, whatever it does; report ``record_closed`` afterwards."""

    connection_id: int
    reason: str

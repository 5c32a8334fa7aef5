"""How busy a database is, as this instance's pool sees it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DatabaseLoad:
    """Work of this instance at one database.

    Attributes
    ----------
    running : int
        Statements that run.
    queued : int
        Requests that wait for a slot or a connection.
    idle_connections : int
        Open connections that nobody uses.
    slots : int
        Slots that this instance holds there; at least 1.
    service_ms : float
        Usual time of one statement.
    """

    running: int = 0
    queued: int = 0
    idle_connections: int = 0
    slots: int = 1
    service_ms: float = 1.0

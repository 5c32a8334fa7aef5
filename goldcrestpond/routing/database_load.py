"""Load of a database, as seen by this instance's pool."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DatabaseLoad:
    """Load that this instance puts on one database.

    Attributes
    ----------
    running : int
        Number of running statements.
    queued : int
        Number of requests that wait for a slot or a connection.
    idle_connections : int
        Number of open connections that are not in use.
    slots : int
        Number of slots that this instance has on the database; at least 1.
    service_ms : float
        Mean duration of a statement, in milliseconds.
    opening_ms : float or None
        How long a request of the organisation in question waits for a connection to be
        opened, in milliseconds, what that costs others included; None if all requests
        use the same connections.
    is_full : bool
        Whether other databases are preferred, since this one is paced and has as much
        in flight as it may now.
    is_due : bool
        Whether this one should get the next read, since it is paced and idle.
    """

    running: int = 0
    queued: int = 0
    idle_connections: int = 0
    slots: int = 1
    service_ms: float = 1.0
    opening_ms: float | None = None
    is_full: bool = False
    is_due: bool = False

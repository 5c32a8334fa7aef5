"""A pooled connection checked out by a session."""

from dataclasses import dataclass

from ..endpoint.connection_pool import ConnectionPool
from ..endpoint.endpoint_connection import EndpointConnection


@dataclass(slots=True)
class Checkout:
    """A pooled connection that serves one session until its transaction ends.

    Attributes
    ----------
    connection : EndpointConnection
        The connection.
    pool : ConnectionPool
        Pool that the connection belongs to.
    database : str
        Name of the database that the connection is open to.
    term : int
        Term in which the database was chosen.
    is_primary : bool
        Whether the database was the primary of that term.
    is_cancelled : bool
        Whether a cancellation of the connection's request was started.
    """

    connection: EndpointConnection
    pool: ConnectionPool
    database: str
    term: int
    is_primary: bool
    is_cancelled: bool = False

    def return_connection(self) -> None:
        """Return the connection to its pool."""
        self.pool.release(self.connection)

    def suspend(self) -> None:
        """Free the slot while the open transaction waits for its caller."""
        self.pool.suspend(self.connection)

    def resume(self) -> None:
        """Occupy a slot again for the next statement of the transaction."""
        self.pool.resume(self.connection)

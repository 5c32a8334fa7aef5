"""A connection on loan to a session."""

from dataclasses import dataclass

from ..endpoint.connection_pool import ConnectionPool
from ..endpoint.endpoint_connection import EndpointConnection


@dataclass(slots=True)
class Checkout:
    """A connection that serves one session until its transaction ends.

    Attributes
    ----------
    connection : EndpointConnection
        The connection.
    pool : ConnectionPool
        Where it goes back to.
    database : str
        Database that it leads to.
    term : int
        Term in which the database was chosen.
    is_primary : bool
        Whether the database was the primary of that term.
    is_cancelled : bool
        Whether a cancellation was sent for what the connection runs.
    """

    connection: EndpointConnection
    pool: ConnectionPool
    database: str
    term: int
    is_primary: bool
    is_cancelled: bool = False

    def give_back(self) -> None:
        """Return the connection to its pool."""
        self.pool.release(self.connection)

    def suspend(self) -> None:
        """Free the slot while the open transaction waits for its caller."""
        self.pool.suspend(self.connection)

    def resume(self) -> None:
        """Take the slot again for a further statement of the transaction."""
        self.pool.resume(self.connection)

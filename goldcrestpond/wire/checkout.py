"""A connection on loan to a session."""

from dataclasses import dataclass

from ..endpoint.database_pool import DatabasePool
from ..endpoint.endpoint_connection import EndpointConnection


@dataclass(slots=True)
class Checkout:
    """A connection that serves one session until its transaction ends.

    Attributes
    ----------
    connection : EndpointConnection
        The connection.
    pool : DatabasePool
        Where it goes back to.
    database : str
        Database that it leads to.
    term : int
        Term in which the database was chosen.
    is_primary : bool
        Whether the database was the primary of that term.
    """

    connection: EndpointConnection
    pool: DatabasePool
    database: str
    term: int
    is_primary: bool

    def give_back(self) -> None:
        """Return the connection to its pool."""
        self.pool.release(self.connection)

"""Interface that a connection pool needs of its connections, in any protocol."""

from typing import Protocol


class PooledLink(Protocol):
    """One open connection to a database.

    Attributes
    ----------
    pool_connection_id : int
        Id of the connection within its pool.
    receive_count : int
        Number of reads that returned bytes since it was last granted or resumed.
    last_receive_count : int
        ``receive_count`` when the pool last looked.
    is_receiving : bool
        Whether a task waits for bytes from the endpoint now.
    is_broken : bool
        True once part of an answer may be missing or left over: the connection
        must not be used again.
    is_abandoned : bool
        True if it broke since the task that used it was cancelled, which says nothing
        of the database.
    """

    pool_connection_id: int
    receive_count: int
    last_receive_count: int
    is_receiving: bool
    is_broken: bool
    is_abandoned: bool

    def is_quiet(self) -> bool:
        """Return whether nothing has been received since the last answer."""

    async def check(self) -> None:
        """Make one round trip.

        Raises
        ------
        CodedError
            If the connection fails or the answer is an error.
        """

    async def aclose(self) -> None:
        """Send the protocol's end message unless broken, then close the connection."""

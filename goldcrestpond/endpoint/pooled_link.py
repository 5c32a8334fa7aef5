"""What a pool asks of a connection, whatever its protocol."""

from typing import Protocol


class PooledLink(Protocol):
    """One open connection to a database.

    Attributes
    ----------
    pool_connection_id : int
        Number of the connection within its pool.
    receive_count : int
        Times that bytes arrived.
    last_receive_count : int
        ``receive_count`` when the pool last looked.
    is_receiving : bool
        Whether somebody waits for bytes from the endpoint now.
    is_broken : bool
        True once bytes may be missing or left over; it must not be used again.
    """

    pool_connection_id: int
    receive_count: int
    last_receive_count: int
    is_receiving: bool
    is_broken: bool

    def is_quiet(self) -> bool:
        """Return whether nothing has arrived since the last answer."""

    async def check(self) -> None:
        """Make one round trip.

        Raises
        ------
        CodedError
            If the connection does not answer as it should.
        """

    async def aclose(self) -> None:
        """Say goodbye if the connection is whole, then close it."""

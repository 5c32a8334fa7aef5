"""Action: grant a connection to a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantConnection:
    """Run a request on a connection.

    The caller reports the end of the request by `DatabasePool.release`.
    """

    request_id: int
    connection_id: int

"""Action: run a request on a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantConnection:
    """Run the request on the connection; report ``released`` at its end."""

    request_id: int
    connection_id: int

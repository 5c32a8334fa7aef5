"""Asks an endpoint to cancel what a connection runs."""

import anyio
from pygwire.messages import CancelRequest

from .endpoint_connection import EndpointConnection

CANCEL_TIMEOUT_S = 5  # a request that cannot be sent in this time is pointless


async def cancel_statement(connection: EndpointConnection) -> None:
    """Send a cancel request over a connection of its own.

    Failure is silent, as the protocol has it: the statement then runs on.
    """
    request = CancelRequest(
        process_id=connection.process_id, secret_key=connection.secret_key
    )
    address = connection.address
    with anyio.move_on_after(CANCEL_TIMEOUT_S):
        try:
            async with await anyio.connect_tcp(address.host, address.port) as stream:
                await stream.send(request.to_wire())
        except (OSError, anyio.BrokenResourceError):
            pass

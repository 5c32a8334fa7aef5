"""Asks an endpoint to cancel the statement that a connection runs."""

import anyio
from pygwire.messages import CancelRequest

from .endpoint_connection import EndpointConnection

CANCEL_TIMEOUT_S = 5  # after this time a cancel request is no longer useful


async def cancel_statement(connection: EndpointConnection) -> None:
    """Send a CancelRequest over a new connection, as the protocol requires.

    Errors are ignored: the protocol has no answer to a CancelRequest, and if the
    request is lost the statement runs to its end.
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

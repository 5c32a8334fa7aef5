"""Opens the listening socket of an HTTP server."""

import socket

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import Address

_BACKLOG = 512


def open_tcp_listener(address: Address) -> socket.socket:
    """Return a socket that listens on an address.

    The socket is created with an explicit IPPROTO_TCP, since the event loop
    disables Nagle's algorithm only for connections of such a listener. With
    Nagle's algorithm, a response whose head and body are sent separately waits
    for the client's delayed acknowledgement.

    Raises
    ------
    CodedError
        ADDRESS_IN_USE if the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
        listener.listen(_BACKLOG)
    except OSError as error:
        listener.close()
        raise CodedError(ResultCode.ADDRESS_IN_USE, f"{address}: {error}") from error
    listener.setblocking(False)
    return listener

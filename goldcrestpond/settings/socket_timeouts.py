"""Socket options by which the kernel detects that the peer is unreachable."""

import socket

# Time after which a connection with unacknowledged bytes is closed. The users'
# databases also drop an unreachable client after 3 s.
USER_TIMEOUT_MS = 3000
# The kernel probes an idle connection after this time and then at this interval, and
# closes it after this number of unanswered probes.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2


def set_timeouts(raw: socket.socket) -> None:
    """Disable Nagle's algorithm and set the timeouts of one connection."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)

"""States of a pooled connection."""

from enum import StrEnum


class ConnectionState(StrEnum):
    """Where a connection is in its life; it counts as open in each of them."""

    OPENING = "opening"
    IDLE = "idle"
    CHECKING = "checking"
    BUSY = "busy"
    HELD = "held"
    CONDEMNED = "condemned"
    CLOSING = "closing"

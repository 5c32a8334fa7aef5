"""States of a pooled connection."""

from enum import StrEnum


class ConnectionState(StrEnum):
    """State of a pooled connection; in each of them it counts as open.

    ``BUSY`` runs a statement, ``HELD`` has an open transaction that waits for its
    caller. ``CLOSING`` and ``FAILED`` are being closed; a ``FAILED`` connection did
    not answer in time.
    """

    OPENING = "opening"
    IDLE = "idle"
    CHECKING = "checking"
    BUSY = "busy"
    HELD = "held"
    FAILED = "condemned"
    CLOSING = "closing"

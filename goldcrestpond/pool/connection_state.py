"""States of a pooled connection."""

from enum import StrEnum


class ConnectionState(StrEnum):
    """State of a pooled connection, which counts as open in each of them.

    A ``BUSY`` connection runs a statement. A ``HELD`` one has an open transaction that
    waits for its caller. ``CLOSING`` and ``FAILED`` ones are being closed; a ``FAILED``
    one did not pass its check or did not answer in time.
    """

    OPENING = "opening"
    IDLE = "idle"
    CHECKING = "checking"
    BUSY = "busy"
    HELD = "held"
    FAILED = "condemned"
    CLOSING = "closing"

"""Actions that a graceful shutdown requests."""

from enum import Enum, auto


class ShutdownAction(Enum):
    """An action that the caller of `Shutdown` carries out.

    ``STOP_ACCEPTING`` closes the listener. ``CLOSE_IDLE_CALLERS`` closes the
    connections of callers without work in flight at once. Those of other callers are
    closed when their request or transaction ends. ``CLOSE_REMAINING_CALLERS`` closes
    the connections that are left. ``EXIT`` ends the process.
    """

    STOP_ACCEPTING = auto()
    CLOSE_IDLE_CALLERS = auto()
    CLOSE_REMAINING_CALLERS = auto()
    EXIT = auto()

"""What a shutdown asks of the shell."""

from enum import Enum, auto


class ShutdownAction(Enum):
    """One step of a shutdown.

    ``STOP_ACCEPTING`` closes the listener, ``CLOSE_IDLE_CALLERS`` ends callers with
    nothing in flight now and each other one as soon as its request or
    transaction has ended, ``CLOSE_REMAINING_CALLERS`` ends those that are left, ``EXIT``
    ends the process.
    """

    STOP_ACCEPTING = auto()
    CLOSE_IDLE_CALLERS = auto()
    CLOSE_REMAINING_CALLERS = auto()
    EXIT = auto()

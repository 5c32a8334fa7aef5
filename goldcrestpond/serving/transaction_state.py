"""Where a session or link stands in its transaction."""

from enum import Enum, auto


class TransactionState(Enum):
    """``FAILED`` transactions can only be ended, which rolls them back."""

    IDLE = auto()
    OPEN = auto()
    FAILED = auto()

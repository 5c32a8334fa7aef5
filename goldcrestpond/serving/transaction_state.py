"""Transaction state of a session or link."""

from enum import Enum, auto


class TransactionState(Enum):
    """Whether a transaction is open; a ``FAILED`` one can only be rolled back."""

    IDLE = auto()
    OPEN = auto()
    FAILED = auto()

"""What a drain asks of the shell."""

from enum import Enum, auto


class DrainAction(Enum):
    """One step of a drain.

    ``REFUSE_WORK`` closes the endpoint's pool to new work, ``CLOSE_CONNECTIONS`` closes
    the connections that still run something.
    """

    REFUSE_WORK = auto()
    CLOSE_CONNECTIONS = auto()

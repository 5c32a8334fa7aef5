"""What a drain asks of the shell."""

from enum import Enum, auto


class DrainAction(Enum):
    """One step of a drain.

    ``REFUSE_WORK`` closes the endpoint's pool to new work, ``CUT_WORK`` closes
    the connections that still run something.
    """

    REFUSE_WORK = auto()
    CUT_WORK = auto()

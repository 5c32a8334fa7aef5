"""Actions that a drain requests."""

from enum import Enum, auto


class DrainAction(Enum):
    """An action that the caller of `EndpointDrain` carries out.

    ``REFUSE_NEW_WORK`` lets the endpoint's pool refuse new work; ``CLOSE_CONNECTIONS``
    closes the connections that still run a statement or hold a transaction.
    """

    REFUSE_NEW_WORK = auto()
    CLOSE_CONNECTIONS = auto()

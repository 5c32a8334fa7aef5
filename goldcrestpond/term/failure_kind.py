"""How an attempt to reach a database failed."""

from enum import Enum, auto


class FailureKind(Enum):
    """What was seen of a database that did not answer.

    Members
    -------
    REFUSED : the endpoint's instance answers, but nobody listens there.
    BROKEN : an open connection ended.
    SILENT : no answer within the time limit over a connection opened before.
    SILENT_FRESH : no answer within the time limit over a fresh connection.
    """

    REFUSED = auto()
    BROKEN = auto()
    SILENT = auto()
    SILENT_FRESH = auto()

"""How an attempt to reach a database failed."""

from enum import Enum, auto


class FailureKind(Enum):
    """How an attempt to reach a database failed.

    Members
    -------
    REFUSED : the host is up but refuses the connection: no process listens.
    BROKEN : an established connection was closed or reset.
    SILENT : a poll over an existing connection timed out.
    SILENT_FRESH : a poll over a newly opened connection timed out.
    """

    REFUSED = auto()
    BROKEN = auto()
    SILENT = auto()
    SILENT_FRESH = auto()

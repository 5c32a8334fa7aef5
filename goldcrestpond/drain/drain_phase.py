"""Phases of a drain."""

from enum import StrEnum


class DrainPhase(StrEnum):
    """Progress of one instance in draining an endpoint.

    ``HANDOVER``: an endpoint that is the primary of its group still serves, until
    another database is promoted or the time limit for this has passed.
    ``FINISHING``: new work is refused, running work may end. ``DONE``: no work is left,
    or the closing of the connections that still run work was requested.
    """

    HANDOVER = "handover"
    FINISHING = "finishing"
    DONE = "done"

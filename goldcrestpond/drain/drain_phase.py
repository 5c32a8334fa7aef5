"""Phases of a drain."""

from enum import StrEnum


class DrainPhase(StrEnum):
    """Progress of one instance in draining an endpoint.

    ``HANDOVER``: the endpoint is still the primary of its group and serves until
    another database has been promoted. ``FINISHING``: new work is refused, running
    work may end. ``DONE``: no work runs, or what still ran has been closed.
    """

    HANDOVER = "handover"
    FINISHING = "finishing"
    DONE = "done"

"""Phases of a drain."""

from enum import StrEnum


class DrainPhase(StrEnum):
    """How far one instance has come with an endpoint that is leaving."""

    HANDOVER = "handover"
    FINISHING = "finishing"
    DONE = "done"

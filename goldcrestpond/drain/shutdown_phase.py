"""Phases of a graceful shutdown."""

from enum import StrEnum


class ShutdownPhase(StrEnum):
    """How far the shutdown of a process has come."""

    SERVING = "serving"
    FINISHING = "finishing"
    CUTTING = "cutting"
    FINISHED = "finished"

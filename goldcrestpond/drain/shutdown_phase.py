"""Phases of a graceful shutdown."""

from enum import StrEnum


class ShutdownPhase(StrEnum):
    """Progress of the shutdown of a process.

    ``SERVING``: no SIGTERM yet. ``FINISHING``: work in flight may end. ``CUTTING``:
    the timeout has passed and the remaining callers are being closed. ``FINISHED``:
    the process may exit.
    """

    SERVING = "serving"
    FINISHING = "finishing"
    CUTTING = "cutting"
    FINISHED = "finished"

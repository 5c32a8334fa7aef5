"""Progress report of one instance on a drain order."""

import msgspec

from .drain_phase import DrainPhase


class DrainProgress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Progress of one instance, as stored in the platform's table.

    Attributes
    ----------
    phase : DrainPhase
        Phase that the instance has reached.
    running : int
        Connections to the endpoint that run a statement or hold a transaction.
    """

    phase: DrainPhase
    running: int = 0

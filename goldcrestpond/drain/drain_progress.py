"""What one instance reports of a drain order."""

import msgspec

from .drain_phase import DrainPhase


class DrainProgress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Progress of one instance, as it stands in the table.

    Attributes
    ----------
    phase : DrainPhase
        How far it has come.
    running : int
        Connections to the endpoint that run something.
    """

    phase: DrainPhase
    running: int = 0

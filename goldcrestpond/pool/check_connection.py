"""Action: check an idle connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CheckConnection:
    """Send an empty query on an idle connection; report ``checked``."""

    connection_id: int

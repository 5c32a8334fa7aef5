"""Action: open a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; report ``opened`` or ``record_open_failure``."""

    connection_id: int
    term: int

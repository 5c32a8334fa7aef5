"""Action: ask the endpoint on a fresh connection about a silent one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProbeEndpoint:
    """Open a fresh connection and ask after a silent one's statement.

    Report ``record_probe_answer`` or ``record_probe_failure``.
    """

    connection_id: int

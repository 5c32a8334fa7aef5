"""Action: ask the endpoint over a new connection about a silent one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProbeEndpoint:
    """Ask the endpoint over a new connection whether a statement still runs.

    ``connection_id`` is that of the silent connection on which the statement was sent.
    The caller reports the result by `DatabasePool.record_probe_answer` or
    `DatabasePool.record_probe_failure`.
    """

    connection_id: int

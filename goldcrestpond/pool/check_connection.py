"""Action: check an idle connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CheckConnection:
    """Send an empty query on an idle connection.

    The caller reports the result by `DatabasePool.record_check_result`.
    """

    connection_id: int

"""Action: open a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection.

    The caller reports the result by `DatabasePool.record_opened` or
    `DatabasePool.record_open_failure`.
    """

    connection_id: int
    term: int

"""Action: open a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection.

    The caller reports the result by `DatabasePool.record_opened` or
    `DatabasePool.record_open_failure`. It is opened for one organisation, whose name is
    empty if the request has none.
    """

    connection_id: int
    term: int
    organisation: str = ""

"""One committed write transaction in a database's log."""

from dataclasses import dataclass
from datetime import timedelta

from .statement import Statement


@dataclass(slots=True, eq=False)
class Write:
    """A write statement with the outcome that was returned to the client.

    Attributes
    ----------
    statement : Statement
        The statement.
    parameters : tuple
        Values of its parameters.
    outcome : tuple
        Number of rows changed and the rows returned.
    """

    statement: Statement
    parameters: tuple
    outcome: tuple


@dataclass(slots=True, eq=False)
class LogEntry:
    """A committed transaction; the logs of all databases share the object.

    Attributes
    ----------
    term : int
        Term of the primary that committed it.
    writes : list of Write
        Write statements in order.
    committed_at : timedelta
        Monotonic time of the commit.
    """

    term: int
    writes: list[Write]
    committed_at: timedelta

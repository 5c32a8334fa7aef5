"""One committed write transaction in a database's log."""

from dataclasses import dataclass
from datetime import timedelta

from .statement import Statement


@dataclass(slots=True, eq=False)
class Write:
    """One statement that wrote, with what its caller was told.

    Attributes
    ----------
    statement : Statement
        The statement.
    parameters : tuple
        Values of its parameters.
    outcome : tuple
        Count of rows changed and the rows returned.
    """

    statement: Statement
    parameters: tuple
    outcome: tuple


@dataclass(slots=True, eq=False)
class LogEntry:
    """A transaction; the same object stands in the log of every database.

    Attributes
    ----------
    term : int
        Term of the primary that committed it.
    writes : list of Write
        Its statements in order.
    committed_at : timedelta
        Monotonic reading at the commit.
    """

    term: int
    writes: list[Write]
    committed_at: timedelta

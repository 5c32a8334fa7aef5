"""A bound statement, ready to run."""

from dataclasses import dataclass

from .session import Result
from .statement import Statement


@dataclass(slots=True)
class Portal:
    """A prepared statement with its parameters and what is left of its rows.

    Attributes
    ----------
    statement : Statement
        The statement.
    parameter_types : list of int
        Type number of each parameter.
    parameters : tuple
        Values.
    result_formats : list of int
        Format codes that the client asked for.
    result : Result or None
        The result, once it ran.
    sent_rows : int
        Rows sent so far.
    """

    statement: Statement
    parameter_types: list[int]
    parameters: tuple
    result_formats: list[int]
    result: Result | None = None
    sent_rows: int = 0

    def take(self, max_rows: int) -> tuple[list[tuple], bool]:
        """Return the next rows and whether more may follow.

        Parameters
        ----------
        max_rows : int
            Most rows to return; 0 for all.
        """
        start = self.sent_rows
        end = start + max_rows if max_rows else len(self.result.rows)
        rows = self.result.rows[start:end]
        self.sent_rows = start + len(rows)
        return rows, bool(max_rows) and len(rows) == max_rows

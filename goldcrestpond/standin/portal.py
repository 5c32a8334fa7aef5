"""Portal of PostgreSQL's extended query protocol: a bound statement."""

from dataclasses import dataclass

from .session import Result
from .statement import Statement


@dataclass(slots=True)
class Portal:
    """A prepared statement with its parameters and its result, sent in parts.

    Attributes
    ----------
    statement : Statement
        The statement.
    parameter_types : list of int
        OID of each parameter's type.
    parameters : tuple
        Values of the parameters.
    result_formats : list of int
        Format codes that the client requested.
    result : Result or None
        Result of the statement; None until it has run.
    sent_rows : int
        Number of rows sent so far.
    """

    statement: Statement
    parameter_types: list[int]
    parameters: tuple
    result_formats: list[int]
    result: Result | None = None
    sent_rows: int = 0

    def take_rows(self, max_rows: int) -> tuple[list[tuple], bool]:
        """Return the next rows and whether more may follow.

        Parameters
        ----------
        max_rows : int
            Maximum number of rows to return; 0 for all.
        """
        start = self.sent_rows
        end = start + max_rows if max_rows else len(self.result.rows)
        rows = self.result.rows[start:end]
        self.sent_rows = start + len(rows)
        return rows, bool(max_rows) and len(rows) == max_rows

"""The result of one simple query."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Columns and rows in text format.

    Attributes
    ----------
    columns : list of str
        Column names.
    rows : list of list of str or None
        Values; None stands for SQL NULL.
    tag : str
        Command tag, for instance ``SELECT 1``.
    """

    columns: list[str]
    rows: list[list[str | None]]
    tag: str

"""What a prepared statement runs."""

from typing import NamedTuple


class Shape(NamedTuple):
    """Two prepared statements of one shape are interchangeable.

    Attributes
    ----------
    is_write : bool
        Whether it writes.
    text : str
        Text that identifies the statement.
    """

    is_write: bool
    text: str

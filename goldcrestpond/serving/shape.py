"""Shape of a prepared statement."""

from typing import NamedTuple


class Shape(NamedTuple):
    """What identifies a prepared statement, whatever its name.

    Two prepared statements of the same shape are interchangeable.

    Attributes
    ----------
    is_write : bool
        Whether the statement writes.
    text : str
        Text that identifies the statement.
    """

    is_write: bool
    text: str

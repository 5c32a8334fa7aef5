"""One statement of a caller."""

from dataclasses import dataclass

from .statement_kind import StatementKind


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement as the caller side has decoded it.

    Attributes
    ----------
    request_id : str
        The caller's id of it.
    kind : StatementKind
        What it asks for.
    text : str
        Its text, which is passed on unchanged.
    name : str
        Name of the value or prepared statement; empty for other kinds.
    argument : str
        Value of ``SET``, shape of ``PREPARE``, parameters of ``EXECUTE``.
    is_write : bool
        Whether a ``WRITE`` is asked for or prepared.
    is_read_only : bool
        Whether a ``BEGIN`` declares that its transaction only reads.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    is_write: bool = False
    is_read_only: bool = False

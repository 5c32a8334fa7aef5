"""Statement of a caller."""

from dataclasses import dataclass

from .statement_kind import StatementKind


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement that was decoded from a caller's message.

    Attributes
    ----------
    request_id : str
        Id that the caller gave the statement.
    kind : StatementKind
        Kind of the statement.
    text : str
        Text of the statement, which is forwarded unchanged.
    name : str
        Name of the session value or prepared statement; empty for other kinds.
    argument : str
        Value of ``SET``, shape of ``PREPARE``, parameters of ``EXECUTE``.
    is_write : bool
        Whether the statement is a ``WRITE``, or prepares one.
    is_read_only : bool
        Whether a ``BEGIN`` declares its transaction as read-only.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    is_write: bool = False
    is_read_only: bool = False

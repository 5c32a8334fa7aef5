"""Error that a stand-in database reports to its client."""

import sqlite3

_SQLSTATES = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("CHECK constraint", "23514"),
    ("FOREIGN KEY constraint", "23503"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("already exists", "42P07"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
    ("Incorrect number of bindings", "08P01"),
)


class DatabaseError(Exception):
    """An SQL error.

    Parameters
    ----------
    sqlstate : str
        Five-character SQLSTATE code.
    message : str
        Human-readable message.
    """

    __slots__ = ("sqlstate",)

    def __init__(self, sqlstate: str, message: str):
        super().__init__(message)
        self.sqlstate = sqlstate


def translate_sqlite_error(error: sqlite3.Error) -> DatabaseError:
    """Translate an error of sqlite into one with PostgreSQL's SQLSTATE."""
    text = str(error)
    for part, sqlstate in _SQLSTATES:
        if part in text:
            return DatabaseError(sqlstate, text)
    return DatabaseError("XX000", text)

"""Kinds of statements."""

from enum import Enum, auto


class StatementKind(Enum):
    """What a statement asks for."""

    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    SET = auto()
    PREPARE = auto()
    EXECUTE = auto()
    DEALLOCATE = auto()

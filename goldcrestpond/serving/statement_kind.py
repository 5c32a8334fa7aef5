"""Kinds of statements."""

from enum import Enum, auto


class StatementKind(Enum):
    """Kind of a caller's statement; the names are labels of metrics."""

    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    SET = auto()
    PREPARE = auto()
    EXECUTE = auto()
    DEALLOCATE = auto()

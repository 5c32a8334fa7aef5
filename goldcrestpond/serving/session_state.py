"""Session values and prepared statements of a caller's session."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .shape import Shape
from .statement import Statement
from .statement_kind import StatementKind

# Each value costs a round trip on every connection that the session uses.
MAX_SESSION_VALUES = 64
MAX_PREPARED_STATEMENTS = 512
# Total of names, values and shapes: twice the limit of one message.
MAX_SESSION_CHARACTERS = 2 << 20


class SessionState:
    """Session values and prepared statements that one caller's session has set up.

    Attributes
    ----------
    values : dict of str to str
        Session values.
    prepared : dict of str to Shape
        Shapes of the prepared statements, by the names that the caller gave them.
    """

    __slots__ = ("prepared", "values")

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Shape] = {}

    def apply(self, statement: Statement) -> None:
        """Apply a ``SET``, ``PREPARE`` or ``DEALLOCATE``.

        Raises
        ------
        CodedError
            STATEMENT_UNKNOWN if the statement to deallocate is not prepared,
            SESSION_TOO_LARGE if the session would exceed a limit. The session is
            unchanged then.
        """
        match statement.kind:
            case StatementKind.SET:
                self._check_size(statement, self.values, MAX_SESSION_VALUES)
                self.values[statement.name] = statement.argument
            case StatementKind.PREPARE:
                self._check_size(statement, self.prepared, MAX_PREPARED_STATEMENTS)
                shape = Shape(statement.is_write, statement.argument)
                self.prepared[statement.name] = shape
            case StatementKind.DEALLOCATE:
                self.get_shape(statement.name)
                del self.prepared[statement.name]

    def _check_size(
        self,
        statement: Statement,
        entries: dict[str, str] | dict[str, Shape],
        max_count: int,
    ) -> None:
        if statement.name not in entries and len(entries) >= max_count:
            raise CodedError(
                ResultCode.SESSION_TOO_LARGE, f"more than {max_count} names"
            )
        size = self._count_characters() + len(statement.name) + len(statement.argument)
        if size > MAX_SESSION_CHARACTERS:
            detail = f"more than {MAX_SESSION_CHARACTERS} characters"
            raise CodedError(ResultCode.SESSION_TOO_LARGE, detail)

    def _count_characters(self) -> int:
        values = sum(len(name) + len(value) for name, value in self.values.items())
        shapes = sum(len(name) + len(s.text) for name, s in self.prepared.items())
        return values + shapes

    def get_shape(self, name: str) -> Shape:
        """Return the shape of a prepared statement.

        Raises
        ------
        CodedError
            STATEMENT_UNKNOWN if the name is not prepared.
        """
        try:
            return self.prepared[name]
        except KeyError:
            raise CodedError(ResultCode.STATEMENT_UNKNOWN, name) from None

    def is_write(self, statement: Statement) -> bool:
        """Return whether a read, a write or an execution is a write."""
        if statement.kind is StatementKind.EXECUTE:
            return self.get_shape(statement.name).is_write
        return statement.is_write

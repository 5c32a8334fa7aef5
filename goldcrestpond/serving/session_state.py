"""What a caller's session has set and prepared."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .shape import Shape
from .statement import Statement
from .statement_kind import StatementKind

# Each value is set on every connection that the session is lent: a round trip.
MAX_SESSION_VALUES = 64
PREPARED_MAX = 512
TEXT_LIMIT_CHARACTERS = 2 << 20  # of names, values and shapes; twice a message's limit


class SessionState:
    """Values and prepared names that were acknowledged to one caller.

    Attributes
    ----------
    values : dict of str to str
        Session values.
    prepared : dict of str to Shape
        Prepared statements by the caller's names.
    """

    __slots__ = ("prepared", "values")

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Shape] = {}

    def apply(self, statement: Statement) -> None:
        """Take in a ``SET``, ``PREPARE`` or ``DEALLOCATE``.

        Raises
        ------
        CodedError
            STATEMENT_UNKNOWN if a name to be dropped is not prepared,
            SESSION_TOO_LARGE if the session keeps too much; it stays as it was.
        """
        match statement.kind:
            case StatementKind.SET:
                self._check_room(statement, self.values, MAX_SESSION_VALUES)
                self.values[statement.name] = statement.argument
            case StatementKind.PREPARE:
                self._check_room(statement, self.prepared, PREPARED_MAX)
                shape = Shape(statement.is_write, statement.argument)
                self.prepared[statement.name] = shape
            case StatementKind.DEALLOCATE:
                self.shape_of(statement.name)
                del self.prepared[statement.name]

    def _check_room(
        self, statement: Statement, kept: dict[str, str] | dict[str, Shape], most: int
    ) -> None:
        if statement.name not in kept and len(kept) >= most:
            raise CodedError(ResultCode.SESSION_TOO_LARGE, f"{most} names")
        size = self._size() + len(statement.name) + len(statement.argument)
        if size > TEXT_LIMIT_CHARACTERS:
            detail = f"more than {TEXT_LIMIT_CHARACTERS} characters"
            raise CodedError(ResultCode.SESSION_TOO_LARGE, detail)

    def _size(self) -> int:
        values = sum(len(name) + len(value) for name, value in self.values.items())
        shapes = sum(len(name) + len(s.text) for name, s in self.prepared.items())
        return values + shapes

    def shape_of(self, name: str) -> Shape:
        """Return the shape of a prepared name.

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
        """Return whether a statement that a database runs writes."""
        if statement.kind is StatementKind.EXECUTE:
            return self.shape_of(statement.name).is_write
        return statement.is_write

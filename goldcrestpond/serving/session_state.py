"""What a caller's session has set and prepared."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .shape import Shape
from .statement import Statement
from .statement_kind import StatementKind


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
            STATEMENT_UNKNOWN if a name to be dropped is not prepared.
        """
        match statement.kind:
            case StatementKind.SET:
                self.values[statement.name] = statement.argument
            case StatementKind.PREPARE:
                shape = Shape(statement.is_write, statement.argument)
                self.prepared[statement.name] = shape
            case StatementKind.DEALLOCATE:
                self.shape_of(statement.name)
                del self.prepared[statement.name]

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

"""Answers SET and SHOW of the proxy's own parameters without an endpoint."""

from collections.abc import Callable

from pygwire.constants import TransactionStatus
from pygwire.messages import (
    BindComplete,
    CloseComplete,
    CommandComplete,
    DataRow,
    FieldDescription,
    NoData,
    ParameterDescription,
    ParseComplete,
    ReadyForQuery,
    RowDescription,
)

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_text
from .batch import Batch, parse_query_text
from .declarations import Declarations
from .statement_kind import Statement, StatementKind, classify_statement

_TEXT_TYPE_OID = 25  # object id of text
_LOCAL_KINDS = (StatementKind.DECLARE, StatementKind.SHOW_DECLARED)
_BODY_OFFSET = 5


class LocalAnswers:
    """Runs SET and SHOW of goldcrestpond parameters for one session.

    Parameters
    ----------
    declarations : Declarations
        The session's declarations, which SET changes.
    read_group : callable
        Returns the name of the group that the session's tokens belong to.
    """

    __slots__ = ("_declarations", "_read_group", "_portals", "_statements")

    def __init__(self, declarations: Declarations, read_group: Callable[[], str]):
        self._declarations = declarations
        self._read_group = read_group
        self._statements: dict[str, Statement] = {}
        self._portals: dict[str, Statement] = {}

    def is_local(self, batch: Batch) -> bool:
        """Return whether all statements of a batch are answered by the proxy.

        Keeps track of the names of prepared statements and portals, and so must be
        called for each batch, in order.

        Raises
        ------
        CodedError
            NOT_CARRIED if the batch mixes such statements with others.
        """
        results = [self._is_local_frame(frame) for frame in batch.frames]
        are_local = [result for result in results if result is not None]
        if not any(are_local):
            return False
        if not all(are_local):
            raise CodedError(
                ResultCode.NOT_CARRIED,
                "SET or SHOW of a goldcrestpond parameter among other statements",
            )
        return True

    def answer(self, batch: Batch, status: TransactionStatus) -> bytes:
        """Run the batch and return its answer.

        Parameters
        ----------
        batch : Batch
            A batch for which ``is_local`` returned True.
        status : TransactionStatus
            Status of the session's transaction.

        Raises
        ------
        CodedError
            BAD_PARAMETER or BAD_TOKEN.
        """
        out = [self._answer_frame(frame) for frame in batch.frames]
        if batch.end != kinds.FLUSH:
            out.append(ReadyForQuery(status=status).to_wire())
        return b"".join(out)

    def _is_local_frame(self, frame: Frame) -> bool | None:
        """Return whether the proxy answers a frame; None if it has no statement."""
        if frame.kind == kinds.QUERY:
            return classify_statement(read_text(frame)).kind in _LOCAL_KINDS
        if frame.kind == kinds.PARSE:
            return self._register_parse(frame)
        if frame.kind == kinds.BIND:
            statement = self._statements.get(_read_bound_name(frame))
            self._portals.pop(read_text(frame), None)
            if statement is not None:
                self._portals[read_text(frame)] = statement
            return statement is not None
        if frame.kind in (kinds.DESCRIBE, kinds.CLOSE):
            return self._find_statement(frame) is not None
        if frame.kind == kinds.EXECUTE:
            return read_text(frame) in self._portals
        return None

    def _register_parse(self, frame: Frame) -> bool:
        statement = classify_statement(parse_query_text(frame))
        name = read_text(frame)
        self._statements.pop(name, None)
        if statement.kind in _LOCAL_KINDS:
            self._statements[name] = statement
            return True
        return False

    def _find_statement(self, frame: Frame) -> Statement | None:
        """Return the local statement or portal that a Describe or Close names."""
        statements = self._statements
        if frame.data[_BODY_OFFSET : _BODY_OFFSET + 1] == b"P":
            statements = self._portals
        return statements.get(read_text(frame, _BODY_OFFSET + 1))

    def _answer_frame(self, frame: Frame) -> bytes:
        if frame.kind == kinds.QUERY:
            statement = classify_statement(read_text(frame))
            return _row_description(statement) + self._run(statement)
        if frame.kind == kinds.PARSE:
            return ParseComplete().to_wire()
        if frame.kind == kinds.BIND:
            return BindComplete().to_wire()
        if frame.kind == kinds.CLOSE:
            return CloseComplete().to_wire()
        if frame.kind == kinds.DESCRIBE:
            return self._answer_describe(frame)
        if frame.kind == kinds.EXECUTE:
            return self._run(self._portals[read_text(frame)])
        return b""

    def _answer_describe(self, frame: Frame) -> bytes:
        statement = self._find_statement(frame)
        rows = _row_description(statement) or NoData().to_wire()
        if frame.data[_BODY_OFFSET : _BODY_OFFSET + 1] == b"P":
            return rows
        return ParameterDescription(type_oids=[]).to_wire() + rows

    def _run(self, statement: Statement) -> bytes:
        if statement.kind is StatementKind.DECLARE:
            self._declarations.apply(
                statement.name, statement.value, self._read_group()
            )
            return CommandComplete(tag="SET").to_wire()
        value = self._declarations.show(statement.name, self._read_group())
        row = DataRow(columns=[value.encode()]).to_wire()
        return row + CommandComplete(tag="SHOW").to_wire()


def _read_bound_name(frame: Frame) -> str:
    return read_text(frame, frame.data.find(0, _BODY_OFFSET) + 1)


def _row_description(statement: Statement) -> bytes:
    if statement.kind is StatementKind.DECLARE:
        return b""
    column = FieldDescription(
        name=statement.name, type_oid=_TEXT_TYPE_OID, type_size=-1, type_modifier=-1
    )
    return RowDescription(fields=[column]).to_wire()

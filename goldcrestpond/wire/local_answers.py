"""Answers the statements that concern only the proxy."""

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

_TEXT_TYPE = 25  # object id of text
_LOCAL = (StatementKind.DECLARE, StatementKind.SHOW_DECLARED)
_BODY = 5


class LocalAnswers:
    """Runs SET and SHOW of goldcrestpond parameters for one session.

    Parameters
    ----------
    declarations : Declarations
        What the session has declared; changed by SET.
    read_group : callable
        Returns the group of the session's tokens.
    """

    __slots__ = ("_declarations", "_read_group", "_portals", "_statements")

    def __init__(self, declarations: Declarations, read_group: Callable[[], str]):
        self._declarations = declarations
        self._read_group = read_group
        self._statements: dict[str, Statement] = {}
        self._portals: dict[str, Statement] = {}

    def is_local(self, batch: Batch) -> bool:
        """Return whether the whole batch concerns only the proxy.

        Raises
        ------
        CodedError
            NOT_CARRIED if it mixes such statements with others.
        """
        texts = [self._is_local_frame(frame) for frame in batch.frames]
        known = [text for text in texts if text is not None]
        if not any(known):
            return False
        if not all(known):
            raise CodedError(
                ResultCode.NOT_CARRIED, "a SET of goldcrestpond within a pipeline"
            )
        return True

    def answer(self, batch: Batch, status: TransactionStatus) -> bytes:
        """Run the batch and return its answer.

        Parameters
        ----------
        batch : Batch
            A batch for which ``is_local`` holds.
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
        if frame.kind == kinds.QUERY:
            return classify_statement(read_text(frame)).kind in _LOCAL
        if frame.kind == kinds.PARSE:
            return self._take_parse(frame)
        if frame.kind == kinds.BIND:
            statement = self._statements.get(_bound_statement(frame))
            self._portals.pop(read_text(frame), None)
            if statement is not None:
                self._portals[read_text(frame)] = statement
            return statement is not None
        if frame.kind in (kinds.DESCRIBE, kinds.CLOSE):
            return self._named(frame) is not None
        if frame.kind == kinds.EXECUTE:
            return read_text(frame) in self._portals
        return None

    def _take_parse(self, frame: Frame) -> bool:
        statement = classify_statement(parse_query_text(frame))
        name = read_text(frame)
        self._statements.pop(name, None)
        if statement.kind in _LOCAL:
            self._statements[name] = statement
            return True
        return False

    def _named(self, frame: Frame) -> Statement | None:
        known = self._statements
        if frame.data[_BODY : _BODY + 1] == b"P":
            known = self._portals
        return known.get(read_text(frame, _BODY + 1))

    def _answer_frame(self, frame: Frame) -> bytes:
        if frame.kind == kinds.QUERY:
            statement = classify_statement(read_text(frame))
            return _describe(statement) + self._run(statement)
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
        statement = self._named(frame)
        rows = _describe(statement) or NoData().to_wire()
        if frame.data[_BODY : _BODY + 1] == b"P":
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


def _bound_statement(frame: Frame) -> str:
    return read_text(frame, frame.data.find(0, _BODY) + 1)


def _describe(statement: Statement) -> bytes:
    if statement.kind is StatementKind.DECLARE:
        return b""
    column = FieldDescription(
        name=statement.name, type_oid=_TEXT_TYPE, type_size=-1, type_modifier=-1
    )
    return RowDescription(fields=[column]).to_wire()

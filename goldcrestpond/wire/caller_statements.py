"""A caller's prepared statements, under names that connections share."""

from dataclasses import dataclass

import xxhash
from pygwire.exceptions import PygwireError
from pygwire.messages import Parse

from ..endpoint.endpoint_connection import EndpointConnection
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.build import close_statement_frame, parse_frame
from ..frames.frame import Frame
from ..frames.read import read_text, rewrite_text
from .answer_script import AnswerScript, CloseStep, ParseStep

UNNAMED = ""
PREPARED_LIMIT = 200  # statements that one endpoint connection keeps
# What one session may keep; drivers keep some hundred statements of usual size.
SESSION_STATEMENTS_MAX = 2000
SESSION_TEXT_LIMIT_CHARACTERS = 32 << 20
_BODY = 5  # offset of a frame's payload
_SHARED_PREFIX = "gp_"


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement that the caller prepared.

    Attributes
    ----------
    query : str
        Statement text.
    param_types : tuple of int
        Types that the caller gave, as object ids.
    shared_name : str
        Name on endpoint connections; the same text has the same name.
    """

    query: str
    param_types: tuple[int, ...]
    shared_name: str


class CallerStatements:
    """Maps a caller's statement names and rewrites its frames.

    Connections to endpoints change between transactions, so a statement is
    prepared again on each connection that has not seen it.
    """

    __slots__ = ("_statements", "_text_characters")

    def __init__(self):
        self._statements: dict[str, PreparedStatement] = {}
        self._text_characters = 0

    def rewrite(
        self,
        frames: list[Frame],
        connection: EndpointConnection,
        script: AnswerScript,
    ) -> bytes:
        """Return the bytes to send to ``connection`` for a batch.

        Parameters
        ----------
        frames : list of Frame
            The caller's frames.
        connection : EndpointConnection
            Connection that will run them.
        script : AnswerScript
            Receives the completions that will come.

        Raises
        ------
        CodedError
            MALFORMED_FRAME if a frame cannot be read, SESSION_TOO_LARGE if the
            session would keep too much; nothing was sent then.
        """
        work = _Rewriting(connection, script)
        for frame in frames:
            self._rewrite_frame(frame, work)
        work.trim()
        return b"".join(work.out)

    def _rewrite_frame(self, frame: Frame, work: "_Rewriting") -> None:
        if frame.kind == kinds.PARSE:
            self._rewrite_parse(frame, work)
        elif frame.kind == kinds.BIND:
            self._rewrite_use(frame, frame.data.find(0, _BODY) + 1, work)
        elif frame.kind == kinds.DESCRIBE and _names_statement(frame):
            self._rewrite_use(frame, _BODY + 1, work)
        elif frame.kind == kinds.CLOSE:
            self._rewrite_close(frame, work)
        else:
            work.out.append(frame.data)

    def _rewrite_parse(self, frame: Frame, work: "_Rewriting") -> None:
        name = read_text(frame)
        statement = _read_parse(frame)
        self._keep(name, statement)
        if name == UNNAMED:
            work.is_unnamed_ready = True
            work.script.parses.append(ParseStep(UNNAMED, True))
            work.out.append(frame.data)
            return
        work.prepare_again(statement.shared_name)
        work.out.append(rewrite_text(frame, _BODY, name, statement.shared_name).data)

    def _keep(self, name: str, statement: PreparedStatement) -> None:
        former = self._statements.get(name)
        added = len(statement.query) - (len(former.query) if former else 0)
        if former is None and len(self._statements) >= SESSION_STATEMENTS_MAX:
            detail = f"{SESSION_STATEMENTS_MAX} prepared statements"
            raise CodedError(ResultCode.SESSION_TOO_LARGE, detail)
        if self._text_characters + added > SESSION_TEXT_LIMIT_CHARACTERS:
            detail = f"more than {SESSION_TEXT_LIMIT_CHARACTERS} characters prepared"
            raise CodedError(ResultCode.SESSION_TOO_LARGE, detail)
        self._text_characters += added
        self._statements[name] = statement

    def _forget(self, name: str) -> None:
        statement = self._statements.pop(name, None)
        if statement is not None:
            self._text_characters -= len(statement.query)

    def _rewrite_use(self, frame: Frame, start: int, work: "_Rewriting") -> None:
        name = read_text(frame, start)
        statement = self._statements.get(name)
        if statement is None:
            work.out.append(frame.data)  # the endpoint says that it is unknown
        elif name == UNNAMED:
            work.ensure_unnamed(statement)
            work.out.append(frame.data)
        else:
            work.ensure_named(statement)
            rewritten = rewrite_text(frame, start, name, statement.shared_name)
            work.out.append(rewritten.data)

    def _rewrite_close(self, frame: Frame, work: "_Rewriting") -> None:
        work.script.closes.append(CloseStep(UNNAMED, True))
        if not _names_statement(frame):
            work.out.append(frame.data)
            return
        # The shared statement stays for other callers; closing a name that
        # does not exist is answered like any other Close.
        self._forget(read_text(frame, _BODY + 1))
        work.out.append(close_statement_frame(_SHARED_PREFIX + "none"))


class _Rewriting:
    """One batch on its way to one connection."""

    __slots__ = ("_connection", "_ready", "is_unnamed_ready", "out", "script")

    def __init__(self, connection: EndpointConnection, script: AnswerScript):
        self._connection = connection
        self._ready = set(connection.prepared)
        self.script = script
        self.out: list[bytes] = []
        self.is_unnamed_ready = False

    def prepare_again(self, shared_name: str) -> None:
        """Make way for the caller's own Parse of a shared statement."""
        if shared_name in self._ready:
            self.out.append(close_statement_frame(shared_name))
            self.script.closes.append(CloseStep(shared_name, False))
        self.script.parses.append(ParseStep(shared_name, True))
        self._ready.add(shared_name)

    def ensure_unnamed(self, statement: PreparedStatement) -> None:
        """Prepare the unnamed statement unless this batch has done so."""
        if not self.is_unnamed_ready:
            self._inject(UNNAMED, statement)
            self.is_unnamed_ready = True

    def ensure_named(self, statement: PreparedStatement) -> None:
        """Prepare a shared statement unless the connection has it."""
        name = statement.shared_name
        if name not in self._ready:
            self._inject(name, statement)
            self._ready.add(name)
        elif name in self._connection.prepared:
            self._connection.prepared[name] = self._connection.prepared.pop(name)

    def trim(self) -> None:
        """Close the statement unused for longest if the connection keeps many."""
        prepared = self._connection.prepared
        if len(prepared) < PREPARED_LIMIT or len(self.out) < 2:
            return
        oldest = next(iter(prepared))
        self.out.insert(0, close_statement_frame(oldest))
        self.script.closes.appendleft(CloseStep(oldest, False))

    def _inject(self, name: str, statement: PreparedStatement) -> None:
        types = list(statement.param_types)
        self.out.append(parse_frame(name, statement.query, types))
        self.script.parses.append(ParseStep(name, False))


def _names_statement(frame: Frame) -> bool:
    return frame.data[_BODY : _BODY + 1] == b"S"


def _read_parse(frame: Frame) -> PreparedStatement:
    try:
        parse = Parse.decode(frame.body)
    except (PygwireError, ValueError, IndexError) as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "unreadable Parse") from error
    types = tuple(parse.param_types)
    digest = xxhash.xxh3_128_hexdigest(repr((parse.query, types)).encode())
    return PreparedStatement(parse.query, types, _SHARED_PREFIX + digest)

"""Maps a caller's prepared statements to names shared on endpoint connections."""

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
from .expected_completions import ExpectedClose, ExpectedCompletions, ExpectedParse

UNNAMED = ""
MAX_CONNECTION_STATEMENTS = 200  # prepared on one endpoint connection
# Limits of one session; drivers keep a few hundred statements of ordinary size.
MAX_SESSION_STATEMENTS = 2000
MAX_SESSION_TEXT_CHARACTERS = 32 << 20
_BODY_OFFSET = 5  # offset of a frame's payload
_SHARED_NAME_PREFIX = "gp_"


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement that a caller has prepared.

    Attributes
    ----------
    query : str
        Statement text.
    param_types : tuple of int
        Parameter types that the caller specified, as object ids.
    shared_name : str
        Name on endpoint connections; equal texts and types give the same name.
    """

    query: str
    param_types: tuple[int, ...]
    shared_name: str


class CallerStatements:
    """Maps a caller's statement names to shared names and rewrites its frames.

    A session may use another connection in each transaction, so a statement is
    prepared again on each connection that does not have it.
    """

    __slots__ = ("_statements", "_text_characters")

    def __init__(self):
        self._statements: dict[str, PreparedStatement] = {}
        self._text_characters = 0

    def rewrite(
        self,
        frames: list[Frame],
        connection: EndpointConnection,
        expected: ExpectedCompletions,
    ) -> bytes:
        """Return the bytes to send to ``connection`` for a batch.

        Parameters
        ----------
        frames : list of Frame
            The caller's frames.
        connection : EndpointConnection
            Connection that will run them.
        expected : ExpectedCompletions
            Extended by the completions that the endpoint will send.

        Raises
        ------
        CodedError
            MALFORMED_FRAME if a frame cannot be read, SESSION_TOO_LARGE if the
            session's statements would exceed a limit; nothing is sent then.
        """
        rewriter = _BatchRewriter(connection, expected)
        for frame in frames:
            self._rewrite_frame(frame, rewriter)
        rewriter.evict_if_full()
        return b"".join(rewriter.out)

    def _rewrite_frame(self, frame: Frame, rewriter: "_BatchRewriter") -> None:
        if frame.kind == kinds.PARSE:
            self._rewrite_parse(frame, rewriter)
        elif frame.kind == kinds.BIND:
            self._rewrite_reference(
                frame, frame.data.find(0, _BODY_OFFSET) + 1, rewriter
            )
        elif frame.kind == kinds.DESCRIBE and _refers_to_statement(frame):
            self._rewrite_reference(frame, _BODY_OFFSET + 1, rewriter)
        elif frame.kind == kinds.CLOSE:
            self._rewrite_close(frame, rewriter)
        else:
            rewriter.out.append(frame.data)

    def _rewrite_parse(self, frame: Frame, rewriter: "_BatchRewriter") -> None:
        name = read_text(frame)
        statement = _parse_statement(frame)
        self._store(name, statement)
        if name == UNNAMED:
            rewriter.is_unnamed_ready = True
            rewriter.expected.parses.append(ExpectedParse(UNNAMED, True))
            rewriter.out.append(frame.data)
            return
        rewriter.expect_parse(statement.shared_name)
        rewriter.out.append(
            rewrite_text(frame, _BODY_OFFSET, name, statement.shared_name).data
        )

    def _store(self, name: str, statement: PreparedStatement) -> None:
        previous = self._statements.get(name)
        added_characters = len(statement.query) - (
            len(previous.query) if previous else 0
        )
        if previous is None and len(self._statements) >= MAX_SESSION_STATEMENTS:
            detail = f"more than {MAX_SESSION_STATEMENTS} prepared statements"
            raise CodedError(ResultCode.SESSION_TOO_LARGE, detail)
        if self._text_characters + added_characters > MAX_SESSION_TEXT_CHARACTERS:
            detail = (
                f"more than {MAX_SESSION_TEXT_CHARACTERS} characters of prepared"
                " statements"
            )
            raise CodedError(ResultCode.SESSION_TOO_LARGE, detail)
        self._text_characters += added_characters
        self._statements[name] = statement

    def _remove(self, name: str) -> None:
        statement = self._statements.pop(name, None)
        if statement is not None:
            self._text_characters -= len(statement.query)

    def _rewrite_reference(
        self, frame: Frame, start: int, rewriter: "_BatchRewriter"
    ) -> None:
        name = read_text(frame, start)
        statement = self._statements.get(name)
        if statement is None:
            rewriter.out.append(frame.data)  # the endpoint answers with an error
        elif name == UNNAMED:
            rewriter.ensure_unnamed(statement)
            rewriter.out.append(frame.data)
        else:
            rewriter.ensure_named(statement)
            rewritten = rewrite_text(frame, start, name, statement.shared_name)
            rewriter.out.append(rewritten.data)

    def _rewrite_close(self, frame: Frame, rewriter: "_BatchRewriter") -> None:
        rewriter.expected.closes.append(ExpectedClose(UNNAMED, True))
        if not _refers_to_statement(frame):
            rewriter.out.append(frame.data)
            return
        # The shared statement stays prepared for other callers. The endpoint gets a
        # Close of a statement that does not exist, and answers with CloseComplete.
        self._remove(read_text(frame, _BODY_OFFSET + 1))
        rewriter.out.append(close_statement_frame(_SHARED_NAME_PREFIX + "none"))


class _BatchRewriter:
    """Rewrites one batch for one endpoint connection."""

    __slots__ = (
        "_connection",
        "_prepared_names",
        "is_unnamed_ready",
        "out",
        "expected",
    )

    def __init__(self, connection: EndpointConnection, expected: ExpectedCompletions):
        self._connection = connection
        self._prepared_names = set(connection.prepared)
        self.expected = expected
        self.out: list[bytes] = []
        self.is_unnamed_ready = False

    def expect_parse(self, shared_name: str) -> None:
        """Expect the completion of the caller's Parse of a shared statement.

        If the connection has the statement, a Close is sent first, since a Parse
        of an existing name is an error.
        """
        if shared_name in self._prepared_names:
            self.out.append(close_statement_frame(shared_name))
            self.expected.closes.append(ExpectedClose(shared_name, False))
        self.expected.parses.append(ExpectedParse(shared_name, True))
        self._prepared_names.add(shared_name)

    def ensure_unnamed(self, statement: PreparedStatement) -> None:
        """Prepare the unnamed statement unless this batch has already done so."""
        if not self.is_unnamed_ready:
            self._add_parse(UNNAMED, statement)
            self.is_unnamed_ready = True

    def ensure_named(self, statement: PreparedStatement) -> None:
        """Prepare a shared statement unless the connection has it."""
        name = statement.shared_name
        if name not in self._prepared_names:
            self._add_parse(name, statement)
            self._prepared_names.add(name)
        elif name in self._connection.prepared:
            self._connection.prepared[name] = self._connection.prepared.pop(name)

    def evict_if_full(self) -> None:
        """Close the least recently used statement if the connection has the maximum."""
        prepared = self._connection.prepared
        if len(prepared) < MAX_CONNECTION_STATEMENTS or len(self.out) < 2:
            return
        oldest = next(iter(prepared))
        self.out.insert(0, close_statement_frame(oldest))
        self.expected.closes.appendleft(ExpectedClose(oldest, False))

    def _add_parse(self, name: str, statement: PreparedStatement) -> None:
        types = list(statement.param_types)
        self.out.append(parse_frame(name, statement.query, types))
        self.expected.parses.append(ExpectedParse(name, False))


def _refers_to_statement(frame: Frame) -> bool:
    return frame.data[_BODY_OFFSET : _BODY_OFFSET + 1] == b"S"


def _parse_statement(frame: Frame) -> PreparedStatement:
    try:
        parse = Parse.decode(frame.body)
    except (PygwireError, ValueError, IndexError) as error:
        raise CodedError(ResultCode.MALFORMED_FRAME, "unreadable Parse") from error
    types = tuple(parse.param_types)
    digest = xxhash.xxh3_128_hexdigest(repr((parse.query, types)).encode())
    return PreparedStatement(parse.query, types, _SHARED_NAME_PREFIX + digest)

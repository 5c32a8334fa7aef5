"""The platform's line protocol: words on one side, the core's types on the other.

A line is a word and fields separated by blanks; the last field extends to the end.
Source: the platform's page PROTOCOL, "The wire", "Consumers" and "Databases".
"""

from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..group.role import Role
from ..serving.database_report import DatabaseReport
from ..serving.reply import Reply
from ..serving.shape import Shape
from ..serving.statement import Statement
from ..serving.statement_kind import StatementKind
from ..serving.transaction_state import TransactionState

OWN_ID = "-"  # id of statements of the proxy's own; also "no signature", "no position"
_STATES = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_SHAPE_WORDS = {"READ": False, "WRITE": True}
_CODES_OF_ENDPOINTS = {
    "BUSY": ResultCode.ENDPOINT_BUSY,
    "LAGGING": ResultCode.NO_FRESH_REPLICA,
    "READONLY": ResultCode.PRIMARY_REPLACED,
    "WRONGNODE": ResultCode.WRONG_ENDPOINT,
    "CONNLIMIT": ResultCode.ENDPOINT_FULL,
    "NOSTMT": ResultCode.STATEMENT_UNKNOWN,
    "EXECFAIL": ResultCode.ENDPOINT_REFUSED,
    "TIMEOUT": ResultCode.ENDPOINT_TIMEOUT,
    "ABORTED": ResultCode.ROLLED_BACK,
    "INDOUBT": ResultCode.OUTCOME_UNKNOWN,
    "MALFORMED": ResultCode.MALFORMED_FRAME,
    "TOOBIG": ResultCode.FRAME_TOO_LARGE,
}
_WORDS_FOR_CALLERS = {
    ResultCode.UNKNOWN_DATABASE: "NODB",
    ResultCode.MALFORMED_FRAME: "MALFORMED",
    ResultCode.TRANSACTION_FAILED: "MALFORMED",
    ResultCode.FRAME_TOO_LARGE: "TOOBIG",
    ResultCode.SESSION_TOO_LARGE: "TOOBIG",
    ResultCode.STATEMENT_UNKNOWN: "NOSTMT",
    ResultCode.ENDPOINT_FULL: "BUSY",
    ResultCode.ENDPOINT_BUSY: "BUSY",
    ResultCode.ENDPOINT_LEAVING: "BUSY",
    ResultCode.ENDPOINT_UNREACHABLE: "BUSY",
    ResultCode.NO_PRIMARY: "BUSY",
    ResultCode.COMMITS_STALLED: "BUSY",
    ResultCode.OVERLOADED: "BUSY",
    ResultCode.QUEUE_DEADLINE: "BUSY",
    ResultCode.SHUTTING_DOWN: "BUSY",
    ResultCode.TOO_MANY_CALLERS: "BUSY",
    ResultCode.WRONG_ENDPOINT: "BUSY",
    ResultCode.PLATFORM_UNAVAILABLE: "BUSY",
    ResultCode.NO_FRESH_REPLICA: "LAGGING",
    ResultCode.PRIMARY_REPLACED: "READONLY",
    ResultCode.ROLLED_BACK: "ABORTED",
    ResultCode.ENDPOINT_REFUSED: "EXECFAIL",
    ResultCode.ENDPOINT_TIMEOUT: "TIMEOUT",
    ResultCode.ANSWER_INTERRUPTED: "TIMEOUT",
}
# An answer is kept whole until its end shows that it is one.
REPLY_LIMIT_CHARACTERS = 16 << 20
_UNKNOWN_OUTCOME = "INDOUBT"  # the only word that promises nothing about any run


@dataclass(frozen=True, slots=True)
class Connect:
    """A caller's first message.

    Attributes
    ----------
    database : str
        Name of the database that it asks for.
    caller : str
        Who it says it is.
    """

    database: str
    caller: str


@dataclass(frozen=True, slots=True)
class Query:
    """A statement of a caller.

    Attributes
    ----------
    request_id : str
        Its id.
    text : str
        Its text.
    """

    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Quit:
    """The end of a caller's session."""


def decode_caller_line(line: str) -> Connect | Query | Quit:
    """Decode one message of a caller.

    Raises
    ------
    CodedError
        MALFORMED_FRAME if it is none.
    """
    fields = line.split(" ", 2)
    match fields:
        case ["CONNECT", database, caller] if database and caller:
            return Connect(database, caller)
        case ["QUERY", request_id, text] if request_id:
            return Query(request_id, text)
        case ["QUIT"]:
            return Quit()
    raise _malformed("not a message", line)


def decode_statement(query: Query) -> Statement:
    """Decode the text of a statement.

    Raises
    ------
    CodedError
        MALFORMED_FRAME if it is none that callers may send.
    """
    text = query.text
    word, _, rest = text.partition(" ")
    decode = _STATEMENTS.get(word)
    statement = decode(query.request_id, text, rest) if decode else None
    if statement is None:
        raise _malformed("not a statement", text)
    return statement


def _decode_begin(request_id: str, text: str, rest: str) -> Statement | None:
    if text not in ("BEGIN", "BEGIN READ"):
        return None
    return Statement(request_id, StatementKind.BEGIN, text, is_read_only=rest != "")


def _decode_commit(request_id: str, text: str, _rest: str) -> Statement | None:
    if text != "COMMIT":
        return None
    return Statement(request_id, StatementKind.COMMIT, text)


def _decode_rollback(request_id: str, text: str, _rest: str) -> Statement | None:
    if text != "ROLLBACK":
        return None
    return Statement(request_id, StatementKind.ROLLBACK, text)


def _decode_read(request_id: str, text: str, rest: str) -> Statement | None:
    if not rest:
        return None
    return Statement(request_id, StatementKind.READ, text, argument=rest)


def _decode_write(request_id: str, text: str, rest: str) -> Statement | None:
    if not rest:
        return None
    return Statement(
        request_id, StatementKind.WRITE, text, argument=rest, is_write=True
    )


def _decode_set(request_id: str, text: str, rest: str) -> Statement | None:
    name, _, value = rest.partition(" ")
    if not name:
        return None
    return Statement(request_id, StatementKind.SET, text, name, value)


def _decode_prepare(request_id: str, text: str, rest: str) -> Statement | None:
    name, _, shape = rest.partition(" ")
    word, _, shape_text = shape.partition(" ")
    if not name or word not in _SHAPE_WORDS or not shape_text:
        return None
    is_write = _SHAPE_WORDS[word]
    kind = StatementKind.PREPARE
    return Statement(request_id, kind, text, name, shape_text, is_write)


def _decode_execute(request_id: str, text: str, rest: str) -> Statement | None:
    name, _, arguments = rest.partition(" ")
    if not name:
        return None
    return Statement(request_id, StatementKind.EXECUTE, text, name, arguments)


def _decode_deallocate(request_id: str, text: str, rest: str) -> Statement | None:
    if not rest:
        return None
    return Statement(request_id, StatementKind.DEALLOCATE, text, rest)


_STATEMENTS = {
    "BEGIN": _decode_begin,
    "COMMIT": _decode_commit,
    "ROLLBACK": _decode_rollback,
    "READ": _decode_read,
    "WRITE": _decode_write,
    "SET": _decode_set,
    "PREPARE": _decode_prepare,
    "EXECUTE": _decode_execute,
    "DEALLOC": _decode_deallocate,
}


def encode_ready(state: TransactionState) -> bytes:
    """Return the message that ends an answer to a caller."""
    return f"READY {_STATE_WORDS[state]} {OWN_ID}\r\n".encode("latin-1")


def encode_error(code: ResultCode, detail: str) -> bytes:
    """Return an error for a caller."""
    word = _WORDS_FOR_CALLERS.get(code, _UNKNOWN_OUTCOME)
    text = " ".join(f"GP{code.number} {detail}".split())
    return f"ERROR {word} {text}\r\n".encode("latin-1", "replace")


def encode_reply(reply: Reply) -> bytes:
    """Return a whole answer for a caller."""
    if reply.error is not None:
        return encode_error(reply.error, reply.detail) + encode_ready(reply.state)
    rows = "".join(f"ROW {row}\r\n" for row in reply.rows)
    text = f"{rows}COMPLETE {reply.receipt or OWN_ID}\r\n"
    return text.encode("latin-1") + encode_ready(reply.state)


def encode_query(
    request_id: str, text: str, min_position: LogPosition | None = None
) -> bytes:
    """Return a statement for a database.

    Parameters
    ----------
    request_id : str
        Id that the database is given.
    text : str
        Its text.
    min_position : LogPosition or None
        Position that the database must have to run it.
    """
    since = (
        ""
        if min_position is None
        else f"SINCE {min_position.term}.{min_position.position} "
    )
    return f"QUERY {request_id} {since}{text}\r\n".encode("latin-1")


def encode_connect(service: str, database_id: str) -> bytes:
    """Return the first message to a database."""
    return f"CONNECT {service} goldcrestpond {database_id}\r\n".encode("latin-1")


BEGIN = "BEGIN"
BEGIN_READ_ONLY = "BEGIN READ"
ROLLBACK = "ROLLBACK"
RESET = "RESET"
STATUS = "STATUS"
RESUME = "RESUME"
GOODBYE = b"QUIT\r\n"


def execute_text(name: str, arguments: str) -> str:
    """Return the text that executes a prepared statement."""
    return f"EXECUTE {name} {arguments}" if arguments else f"EXECUTE {name}"


def prepare_text(name: str, shape: Shape) -> str:
    """Return the text that prepares a statement."""
    return f"PREPARE {name} {'WRITE' if shape.is_write else 'READ'} {shape.text}"


def set_text(name: str, value: str) -> str:
    """Return the text that sets a value."""
    return f"SET {name} {value}"


def pause_text(term: int) -> str:
    """Return the text that stops a replica from receiving."""
    return f"PAUSE {term}"


class ReplyDecoder:
    """Collects the lines of one answer of a database."""

    __slots__ = ("_reply", "_row_characters")

    def __init__(self) -> None:
        self._reply = Reply()
        self._row_characters = 0

    def feed(self, line: str) -> Reply | None:
        """Take in a line; return the answer once it is whole.

        Raises
        ------
        CodedError
            ENDPOINT_MALFORMED if the line belongs to no answer, or the answer is
            too large.
        """
        word, _, rest = line.partition(" ")
        reply = self._reply
        match word:
            case "ROW":
                self._row_characters += len(line)
                if self._row_characters > REPLY_LIMIT_CHARACTERS:
                    detail = f"more than {REPLY_LIMIT_CHARACTERS} characters of rows"
                    raise CodedError(ResultCode.ENDPOINT_MALFORMED, detail)
                reply.rows.append(rest)
            case "COMPLETE":
                reply.receipt = "" if rest == OWN_ID else rest
            case "ERROR":
                code, _, reply.detail = rest.partition(" ")
                reply.error = _CODES_OF_ENDPOINTS.get(code, ResultCode.OUTCOME_UNKNOWN)
                reply.detail = f"{code} {reply.detail}"
            case "READY":
                state, _, position = rest.partition(" ")
                if state not in _STATES:
                    raise _unreadable(line)
                reply.state = _STATES[state]
                reply.position = decode_position(position)
                self._reply = Reply()
                self._row_characters = 0
                return reply
            case _:
                raise _unreadable(line)
        return None


def decode_connect_refusal(line: str) -> CodedError | None:
    """Return the refusal of a connection; None if the line is none."""
    word, _, rest = line.partition(" ")
    if word != "ERROR":
        return None
    code = _CODES_OF_ENDPOINTS.get(rest.partition(" ")[0])
    return CodedError(code or ResultCode.ENDPOINT_UNREACHABLE, rest)


def decode_position(text: str) -> LogPosition | None:
    """Decode TERM.NUMBER; None for the sign that there is none.

    Raises
    ------
    CodedError
        ENDPOINT_MALFORMED if it is neither.
    """
    if text == OWN_ID:
        return None
    term, _, number = text.partition(".")
    try:
        return LogPosition(int(term), int(number))
    except ValueError:
        raise _unreadable(text) from None


def decode_report(row: str) -> DatabaseReport:
    """Decode the row of a status.

    Its fields are role, term, position received, term held, lag in ms, busy slots
    and connections.

    Raises
    ------
    CodedError
        ENDPOINT_MALFORMED if it is no such row.
    """
    fields = row.split(" ")
    try:
        role, term, received, paused, lag_ms = fields[:5]
        return DatabaseReport(
            _ROLES[role],
            int(term),
            decode_position(received) or LogPosition(0, 0),
            int(paused),
            int(float(lag_ms)),
        )
    except (ValueError, KeyError, OverflowError):
        raise _unreadable(row) from None


def _malformed(reason: str, text: str) -> CodedError:
    return CodedError(ResultCode.MALFORMED_FRAME, f"{reason}: {text[:40]!r}")


def _unreadable(text: str) -> CodedError:
    return CodedError(ResultCode.ENDPOINT_MALFORMED, f"unreadable: {text[:60]!r}")

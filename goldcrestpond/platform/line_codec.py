"""Encodes and decodes the messages of the platform's line protocol.

A line is a word and fields separated by spaces; the last field extends to the end
of the line and may contain spaces.
Source: the platform's page PROTOCOL, "The wire", "Consumers" and "Databases".
"""

from collections.abc import Iterator
from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..group.role import Role
from ..serving.database_report import DatabaseReport
from ..serving.organisations import digest_key
from ..serving.reply import Reply
from ..serving.shape import Shape
from ..serving.statement import Statement
from ..serving.statement_kind import StatementKind
from ..serving.transaction_state import TransactionState

# Stands for "no receipt" and "no position", and is the request id of statements
# that the proxy itself sends.
EMPTY_FIELD = "-"
# Name under which the proxy itself connects to a database.
_OWN_NAME = "goldcrestpond"
_STATES = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_IS_WRITE = {"READ": False, "WRITE": True}
_RESULT_CODES = {
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
_ERROR_WORDS = {
    ResultCode.UNKNOWN_DATABASE: "NODB",
    ResultCode.AUTHENTICATION_FAILED: "AUTHFAIL",
    ResultCode.HOME_UNREACHABLE: "BUSY",
    ResultCode.IDENTITY_UNPROVEN: "BUSY",
    ResultCode.RATE_EXCEEDED: "BUSY",
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
# The rows of an answer are kept in memory until its last line has arrived.
REPLY_LIMIT_CHARACTERS = 16 << 20
# Error word for codes that the table lacks, such as those of an unknown outcome: the
# statement may or may not have taken effect.
_UNKNOWN_OUTCOME_WORD = "INDOUBT"


@dataclass(frozen=True, slots=True)
class Connect:
    """A caller's first message.

    Attributes
    ----------
    database : str
        Name of the requested database.
    key_digest : bytes
        Digest of the key by which the caller identifies itself.
    """

    database: str
    key_digest: bytes


@dataclass(frozen=True, slots=True)
class Query:
    """A statement of a caller.

    Attributes
    ----------
    request_id : str
        Id that the caller chose.
    text : str
        Text of the statement.
    """

    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Quit:
    """Request of a caller to end its session."""


def decode_caller_line(line: str) -> Connect | Query | Quit:
    """Decode one message of a caller.

    Raises
    ------
    CodedError
        MALFORMED_FRAME if the line is not a message of a caller.
    """
    fields = line.split(" ", 2)
    match fields:
        case ["CONNECT", database, key] if database and key:
            return Connect(database, _digest_field(key))
        case ["QUERY", request_id, text] if request_id:
            return Query(request_id, text)
        case ["QUIT"]:
            return Quit()
    # The line isn't quoted, since it may contain a key.
    detail = f"not a message: {len(line)} characters"
    raise CodedError(ResultCode.MALFORMED_FRAME, detail)


def _digest_field(key: str) -> bytes:
    """Return the digest of a key whose bytes were decoded one character each."""
    return digest_key(key.encode("latin-1").decode("utf-8", "surrogateescape"))


def decode_statement(query: Query) -> Statement:
    """Decode the text of a statement.

    Raises
    ------
    CodedError
        MALFORMED_FRAME if it is not a statement that callers may send.
    """
    text = query.text
    word, _, rest = text.partition(" ")
    decode = _STATEMENT_DECODERS.get(word)
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
    if not name or word not in _IS_WRITE or not shape_text:
        return None
    is_write = _IS_WRITE[word]
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


_STATEMENT_DECODERS = {
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
    """Return the READY line, which ends an answer to a caller."""
    return f"READY {_STATE_WORDS[state]} {EMPTY_FIELD}\r\n".encode("latin-1")


def encode_error(code: ResultCode, detail: str) -> bytes:
    """Return the ERROR line for a caller."""
    word = _ERROR_WORDS.get(code, _UNKNOWN_OUTCOME_WORD)
    text = " ".join(f"GP{code.number} {detail}".split())
    return f"ERROR {word} {text}\r\n".encode("latin-1", "replace")


def encode_reply(reply: Reply) -> bytes:
    """Return the complete answer to a caller."""
    if reply.error is not None:
        return encode_error(reply.error, reply.detail) + encode_ready(reply.state)
    rows = "".join(_format_row(row) for row in reply.rows)
    text = f"{rows}COMPLETE {reply.receipt or EMPTY_FIELD}\r\n"
    return text.encode("latin-1") + encode_ready(reply.state)


def encode_reply_parts(reply: Reply, part_bytes: int) -> Iterator[bytes]:
    """Yield the complete answer to a caller in parts of up to ``part_bytes``.

    Rows are removed from the reply as they are encoded, so that an answer that is read
    slowly is kept once.
    """
    rows = reply.rows
    rows.reverse()
    data = bytearray()
    while rows:
        data += _format_row(rows.pop()).encode("latin-1")
        while len(data) >= part_bytes:
            yield bytes(data[:part_bytes])
            del data[:part_bytes]
    yield bytes(data)
    yield encode_reply(reply)


def _format_row(row: str) -> str:
    return f"ROW {row}\r\n"


def encode_query(
    request_id: str, text: str, min_position: LogPosition | None = None
) -> bytes:
    """Return the message with a statement for a database.

    Parameters
    ----------
    request_id : str
        Id of the statement.
    text : str
        Text of the statement.
    min_position : LogPosition or None
        Log position that the database must have reached to run the statement.
    """
    since_clause = (
        ""
        if min_position is None
        else f"SINCE {min_position.term}.{min_position.position} "
    )
    return f"QUERY {request_id} {since_clause}{text}\r\n".encode("latin-1")


def encode_connect(service: str, database_id: str, organisation: str = "") -> bytes:
    """Return the CONNECT message, the first one to a database.

    Parameters
    ----------
    service : str
        Name of the service.
    database_id : str
        Id of the database.
    organisation : str
        Name of the organisation for which the connection is opened; empty for
        connections of the proxy itself, or if there are no organisations.
    """
    caller = (organisation or _OWN_NAME).encode()
    fields = (service.encode("latin-1"), caller, database_id.encode("latin-1"))
    return b"CONNECT %b %b %b\r\n" % fields


BEGIN = "BEGIN"
BEGIN_READ_ONLY = "BEGIN READ"
ROLLBACK = "ROLLBACK"
RESET = "RESET"
STATUS = "STATUS"
RESUME = "RESUME"
QUIT_MESSAGE = b"QUIT\r\n"


def format_execute(name: str, arguments: str) -> str:
    """Return the statement that executes a prepared statement."""
    return f"EXECUTE {name} {arguments}" if arguments else f"EXECUTE {name}"


def format_prepare(name: str, shape: Shape) -> str:
    """Return the statement that prepares another one."""
    return f"PREPARE {name} {'WRITE' if shape.is_write else 'READ'} {shape.text}"


def format_set(name: str, value: str) -> str:
    """Return the statement that sets a session value."""
    return f"SET {name} {value}"


def format_pause(term: int) -> str:
    """Return the statement that stops a replica from receiving the log."""
    return f"PAUSE {term}"


class ReplyDecoder:
    """Assembles the answers of a database from their lines."""

    __slots__ = ("_reply", "_row_characters")

    def __init__(self) -> None:
        self._reply = Reply()
        self._row_characters = 0

    def feed(self, line: str) -> Reply | None:
        """Process a line; return the answer once it is complete, else None.

        Raises
        ------
        CodedError
            ENDPOINT_MALFORMED if the line cannot be part of an answer, or the
            answer is too large.
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
                reply.receipt = "" if rest == EMPTY_FIELD else rest
            case "ERROR":
                code, _, reply.detail = rest.partition(" ")
                reply.error = _RESULT_CODES.get(code, ResultCode.OUTCOME_UNKNOWN)
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
    """Return the error of an ERROR line, or None for any other line."""
    word, _, rest = line.partition(" ")
    if word != "ERROR":
        return None
    code = _RESULT_CODES.get(rest.partition(" ")[0])
    return CodedError(code or ResultCode.ENDPOINT_UNREACHABLE, rest)


def decode_position(text: str) -> LogPosition | None:
    """Decode ``TERM.NUMBER``; return None for ``-``, which stands for no position.

    Raises
    ------
    CodedError
        ENDPOINT_MALFORMED if the text is neither.
    """
    if text == EMPTY_FIELD:
        return None
    term, _, number = text.partition(".")
    try:
        return LogPosition(int(term), int(number))
    except ValueError:
        raise _unreadable(text) from None


def decode_report(row: str) -> DatabaseReport:
    """Decode the row with the status of a database.

    Its fields are role, term, received log position, term for which reception is
    paused, lag in ms, busy slots and connections. Only the first five are decoded.

    Raises
    ------
    CodedError
        ENDPOINT_MALFORMED if the row cannot be decoded.
    """
    fields = row.split(" ")
    try:
        role, term, received, paused_term, lag_ms = fields[:5]
        return DatabaseReport(
            _ROLES[role],
            int(term),
            decode_position(received) or LogPosition(0, 0),
            int(paused_term),
            int(float(lag_ms)),
        )
    except (ValueError, KeyError, OverflowError):
        raise _unreadable(row) from None


def _malformed(reason: str, text: str) -> CodedError:
    return CodedError(ResultCode.MALFORMED_FRAME, f"{reason}: {text[:40]!r}")


def _unreadable(text: str) -> CodedError:
    return CodedError(ResultCode.ENDPOINT_MALFORMED, f"unreadable: {text[:60]!r}")

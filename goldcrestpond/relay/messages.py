"""Messages between an instance and the holder of a service's connections.

Each is a MessagePack array behind its length, four bytes in network order. The one
side asks, the other answers, in order.
"""

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..serving.reply import Reply
from ..serving.statement import Statement
from ..serving.statement_kind import StatementKind
from ..serving.transaction_state import TransactionState

LENGTH_BYTES = 4
MESSAGE_LIMIT_BYTES = 2 << 20  # twice what a caller's message may hold

_Position = tuple[int, int]


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages."""


class Lend(Message, frozen=True):
    """Asks for a connection to a database.

    Attributes
    ----------
    service, database_id : str
        The database.
    caller : str
        Key of fairness.
    lane : str
        Class of work.
    wait_ms : float
        Time within which it is of use.
    priority : int
        Within the lane, lower ones go first.
    """

    service: str
    database_id: str
    caller: str
    lane: str
    wait_ms: float
    priority: int = 0


class Lent(Message, frozen=True):
    """A connection was lent; what its session holds."""

    values: dict[str, str]
    prepared: list[tuple[bool, str]]


class Execute(Message, frozen=True):
    """Runs a caller's statement on the lent connection."""

    request_id: str
    kind: int
    text: str
    name: str
    argument: str
    is_write: bool
    shape: tuple[bool, str] | None
    min_position: _Position | None


class Begin(Message, frozen=True):
    """Begins a transaction."""

    is_read_only: bool
    min_position: _Position | None


class Rollback(Message, frozen=True):
    """Ends a transaction without a commit."""


class Reset(Message, frozen=True):
    """Clears values and prepared statements."""


class SetValue(Message, frozen=True):
    """Sets a session value."""

    name: str
    value: str


class Prepare(Message, frozen=True):
    """Prepares a statement."""

    is_write: bool
    text: str


class Return(Message, frozen=True):
    """Gives the connection back; has no answer."""

    is_broken: bool


class Prove(Message, frozen=True):
    """Asks for a proof of the leader that begins after this message arrived."""

    service: str
    wait_ms: float


class Proved(Message, frozen=True):
    """A database has proved that it leads."""

    database_id: str
    position: _Position


class Seal(Message, frozen=True):
    """Asks to send no more commits to a leader, and what was acknowledged.

    Attributes
    ----------
    service : str
        Its service.
    former : str
        Its id; empty if it is unknown.
    wait_ms : float
        Time that commits which are under way are given.
    """

    service: str
    former: str
    wait_ms: float


class Sealed(Message, frozen=True):
    """No commit was acknowledged above a position; without one, that is not known."""

    position: _Position | None


class Release(Message, frozen=True):
    """Ends a seal: nobody replaces the leader."""

    service: str


class Answer(Message, frozen=True):
    """A whole answer of a database."""

    rows: list[str]
    receipt: str
    error: int
    detail: str
    state: int
    position: _Position | None


class Done(Message, frozen=True):
    """What was asked for is done."""


class Refused(Message, frozen=True):
    """What was asked for failed."""

    code: int
    detail: str
    retry_after_ms: int


Request = (
    Lend
    | Execute
    | Begin
    | Rollback
    | Reset
    | SetValue
    | Prepare
    | Return
    | Prove
    | Seal
    | Release
)
Response = Lent | Answer | Done | Refused | Proved | Sealed

_ENCODER = msgspec.msgpack.Encoder()
_REQUESTS = msgspec.msgpack.Decoder(Request)
_RESPONSES = msgspec.msgpack.Decoder(Response)
_CODES = {code.number: code for code in ResultCode}


def encode(message: Message) -> bytes:
    """Return a message with its length before it."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


def decode_request(body: bytes) -> Request:
    """Decode a request.

    Raises
    ------
    CodedError
        PEER_MALFORMED if it is none.
    """
    return _decode(_REQUESTS, body)


def decode_response(body: bytes) -> Response:
    """Decode a response.

    Raises
    ------
    CodedError
        PEER_MALFORMED if it is none.
    """
    return _decode(_RESPONSES, body)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise CodedError(ResultCode.PEER_MALFORMED, str(error)) from error


def to_refused(error: CodedError) -> Refused:
    """Return the message of an error."""
    return Refused(error.code.number, error.detail, error.retry_after_ms)


def to_error(refused: Refused) -> CodedError:
    """Return the error of a message."""
    code = _CODES.get(refused.code, ResultCode.OUTCOME_UNKNOWN)
    return CodedError(code, refused.detail, refused.retry_after_ms)


def to_answer(reply: Reply) -> Answer:
    """Return the message of a reply."""
    return Answer(
        reply.rows,
        reply.receipt,
        0 if reply.error is None else reply.error.number,
        reply.detail,
        reply.state.value,
        reply.position,
    )


def to_reply(answer: Answer) -> Reply:
    """Return the reply of a message."""
    error = None
    if answer.error:
        error = _CODES.get(answer.error, ResultCode.OUTCOME_UNKNOWN)
    return Reply(
        list(answer.rows),
        answer.receipt,
        error,
        answer.detail,
        TransactionState(answer.state),
        to_position(answer.position),
    )


def to_position(pair: _Position | None) -> LogPosition | None:
    """Return a position of a message."""
    return None if pair is None else LogPosition(*pair)


def to_statement(message: Execute) -> Statement:
    """Return the statement of a message."""
    return Statement(
        message.request_id,
        StatementKind(message.kind),
        message.text,
        message.name,
        message.argument,
        message.is_write,
    )

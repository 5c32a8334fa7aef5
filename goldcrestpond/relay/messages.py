"""Messages between an instance and the holder of a service's connections.

Each message is a MessagePack array, preceded by its length as four bytes in network
order. The instance that opened the channel sends requests; the holder responds to them
in order.
"""

from typing import Annotated

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..pool.lane import Lane
from ..rates.handover import Handover
from ..serving.fleet_protocol import FIRST_PROTOCOL
from ..serving.reply import Reply
from ..serving.route import ReadPolicy
from ..serving.row_fields import Bandwidth, SpanMs
from ..serving.statement import Statement
from ..serving.statement_kind import StatementKind
from ..serving.transaction_state import TransactionState

LENGTH_BYTES = 4
MESSAGE_LIMIT_BYTES = 2 << 20  # twice the limit of a caller's message

_Position = tuple[int, int]
_WEIGHT_LIMIT = 1e9
# Limits that also exclude what is not a number, so that no computation with a value of
# another instance fails.
_Weight = Annotated[float, msgspec.Meta(gt=0, le=_WEIGHT_LIMIT)]
_Version = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages.

    The name of each subclass is its tag on the wire.
    """


class Lend(Message, frozen=True):
    """Asks to check out a connection to a database.

    Attributes
    ----------
    service, database_id : str
        Name of the service and id of the database.
    caller : str
        Key by which connections are shared out fairly between callers.
    lane : Lane
        Class of work.
    wait_ms : float
        Time after which the requester no longer waits.
    priority : int
        Within the lane, requests with lower numbers are served first.
    organisation : str
        Organisation for which the connection is; empty if there is none.
    is_charged : bool
        Whether the requester has the organisation's home charge the operation. The
        holder then need not be a home, and charges nothing.
    weight : float
        Part of a database's room that the organisation may claim.
    """

    service: str
    database_id: str
    caller: str
    lane: Lane
    wait_ms: SpanMs
    priority: int = 0
    organisation: str = ""
    is_charged: bool = False
    weight: _Weight = 1.0


class Lent(Message, frozen=True):
    """A connection was checked out.

    Attributes
    ----------
    values : dict of str to str
        Session values in force on it.
    prepared : list of tuple of bool and str
        Shapes of the statements prepared on it: whether it writes, and its text.
    """

    values: dict[str, str]
    prepared: list[tuple[bool, str]]


class Execute(Message, frozen=True):
    """Runs a caller's statement on the checked-out connection.

    Attributes
    ----------
    request_id : str
        Id that the caller gave the statement.
    kind : StatementKind
        Kind of the statement.
    text : str
        Text of the statement.
    name : str
        Name of the session value or prepared statement; empty for other kinds.
    argument : str
        Value of ``SET``, shape of ``PREPARE``, parameters of ``EXECUTE``.
    is_write : bool
        Whether the statement writes, or prepares one that does.
    shape : tuple of bool and str or None
        Shape of the prepared statement that it uses: whether it writes, and its text.
    min_position : tuple of int and int or None
        Lowest log position that it must show.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str
    argument: str
    is_write: bool
    shape: tuple[bool, str] | None
    min_position: _Position | None


class Run(Message, frozen=True):
    """Runs a caller's read wherever the holder finds best; the response is ``Answer``.

    Sent from the protocol `HOLDERS_BY_SERVICE` on.

    Attributes
    ----------
    service : str
        Name of the service.
    caller, organisation, weight
        See ``Lend``.
    request_id, kind, text, name, argument, shape
        See ``Execute``.
    values : dict of str to str
        Session values that must be in force.
    policy : ReadPolicy
        Which commits it must show.
    max_age_ms : float
        Maximum age of what it shows.
    last_commit : tuple of int and int or None
        Position after the session's last commit.
    wait_ms : float
        Time after which the requester no longer waits.
    objective_ms : float
        What is left of the latency objective; negative if it has passed.
    priority : int
        Priority of the route.
    """

    service: str
    caller: str
    organisation: str
    weight: _Weight
    request_id: str
    kind: StatementKind
    text: str
    name: str
    argument: str
    shape: tuple[bool, str] | None
    values: dict[str, str]
    policy: ReadPolicy
    max_age_ms: SpanMs
    last_commit: _Position | None
    wait_ms: SpanMs
    objective_ms: SpanMs
    priority: int


class Open(Run, frozen=True):
    """Opens a transaction with its first statement; the response is ``Opened``.

    The connection is checked out over the channel from then on, as after ``Lend``.

    Attributes
    ----------
    is_read_only : bool
        Whether the transaction is read-only.
    is_write : bool
        Whether the statement writes.
    """

    is_read_only: bool
    is_write: bool


class Opened(Message, frozen=True):
    """A transaction was opened.

    Attributes
    ----------
    database_id : str
        Id of the database.
    values, prepared
        See ``Lent``.
    answer : Answer
        Reply to the first statement.
    """

    database_id: str
    values: dict[str, str]
    prepared: list[tuple[bool, str]]
    answer: "Answer"


class Begin(Message, frozen=True):
    """Begins a transaction.

    Attributes
    ----------
    is_read_only : bool
        Whether the transaction is read-only.
    min_position : tuple of int and int or None
        Lowest log position that it must show.
    """

    is_read_only: bool
    min_position: _Position | None


class Rollback(Message, frozen=True):
    """Ends a transaction without a commit."""


class Reset(Message, frozen=True):
    """Clears the session values and prepared statements of the connection."""


class SetValue(Message, frozen=True):
    """Sets a session value.

    Attributes
    ----------
    name, value : str
        Name of the session value, and its new value.
    """

    name: str
    value: str


class Prepare(Message, frozen=True):
    """Prepares a statement.

    Attributes
    ----------
    is_write : bool
        Whether the statement writes.
    text : str
        Text that identifies the statement.
    """

    is_write: bool
    text: str


class Return(Message, frozen=True):
    """Returns the connection; has no response.

    Attributes
    ----------
    is_broken : bool
        Whether the connection must not be used again.
    """

    is_broken: bool


class Prove(Message, frozen=True):
    """Asks for a leader check that begins after this message arrived.

    Attributes
    ----------
    service : str
        Service of the leader.
    wait_ms : float
        Time after which the requester no longer waits.
    """

    service: str
    wait_ms: SpanMs


class Proved(Message, frozen=True):
    """The database that was verified to be the leader, and its log position."""

    database_id: str
    position: _Position


class Seal(Message, frozen=True):
    """Asks to block commits to a service and to report acknowledged commits.

    Attributes
    ----------
    service : str
        Service of the leader.
    previous_leader : str
        Database id of the leader; empty if it is unknown.
    wait_ms : float
        Time that commits under way are given to end.
    candidate : str
        Database id of the one whose promotion is ordered; empty if none is yet.
    token : int
        Fencing token of the claim; 0 from a release that sends none.
    """

    service: str
    previous_leader: str
    wait_ms: SpanMs
    candidate: str = ""
    token: _Version = 0


class Sealed(Message, frozen=True):
    """No commit above a position was acknowledged; None if that is unknown.

    Attributes
    ----------
    position : tuple of int and int, or None
        The position.
    known_position : tuple of int and int, or None
        Highest position at which a commit is known to be acknowledged; None if it knows
        of none, also from a former release.
    has_in_flight : bool
        Whether commits were still in flight; False from a former release.
    """

    position: _Position | None
    known_position: _Position | None = None
    has_in_flight: bool = False


class Release(Message, frozen=True):
    """Unblocks commits: under this token no promotion is pending any more."""

    service: str
    token: _Version = 0


class Peer(msgspec.Struct, array_like=True, frozen=True):
    """An instance that takes part.

    Attributes
    ----------
    name, availability_zone : str
        Its name and availability zone.
    address : str
        ``IP:PORT`` at which it accepts channels.
    link_mbps : float
        Bandwidth of its network link in megabits per second; 0 if unknown.
    protocol : int
        Highest version of the rules between instances that it follows.
    """

    name: str
    availability_zone: str
    address: str
    link_mbps: Bandwidth
    protocol: _Version = FIRST_PROTOCOL


class KnownTable(msgspec.Struct, array_like=True, frozen=True):
    """What a follower knows of one table; version None if it knows nothing."""

    table: str
    era: _Version
    version: _Version | None


class Follow(Message, frozen=True):
    """Asks for the changes of the store's tables; waits if there are none.

    Attributes
    ----------
    follower : Peer
        The instance that asks.
    followers : list of Peer or None
        Instances that follow it in turn; None if they are those of its last request.
    tables : list of KnownTable
        What it knows.
    wait_ms : float
        How long to wait for a change.
    is_leaving : bool
        Whether it leaves the fleet: it is no longer a member, but is still answered
        until it ends.
    """

    follower: Peer
    followers: list[Peer] | None
    tables: list[KnownTable]
    wait_ms: SpanMs
    is_leaving: bool = False


class ChangedRow(msgspec.Struct, array_like=True, frozen=True):
    """A changed row; its value is None if it was removed."""

    part: str
    key: str
    value: bytes | None
    version: _Version


class ChangedTable(msgspec.Struct, array_like=True, frozen=True):
    """Changes of one table.

    Attributes
    ----------
    table : str
        Name of the table.
    era, version : int
        Era and version of the store up to which the rows are complete.
    rows : list of ChangedRow
        The changed rows, or all rows.
    is_whole : bool
        Whether these are all rows of the table.
    age_ms : float
        Time since the rows were known to be complete.
    """

    table: str
    era: _Version
    version: _Version
    rows: list[ChangedRow]
    is_whole: bool
    age_ms: SpanMs


class Followed(Message, frozen=True):
    """The changes that a follower asked for.

    Attributes
    ----------
    tables : list of ChangedTable
        The changes of each table that the sender knows.
    reader : str
        Name of the instance that read the tables from the store; empty if the sender
        reaches neither the store nor an instance that does.
    held_ms : float
        Time from the arrival of the request to this answer.
    """

    tables: list[ChangedTable]
    reader: str
    held_ms: SpanMs


class Charge(Message, frozen=True):
    """Asks an organisation's meter to charge one operation that another holder runs.

    Attributes
    ----------
    service : str
        Service of the database that runs it.
    organisation : str
        Name of the organisation.
    """

    service: str
    organisation: str


class Refund(Message, frozen=True):
    """Takes back the last charge made over this channel: the operation did not run.

    Sent from the protocol `HOLDERS_BY_SERVICE` on.
    """


class Probe(Message, frozen=True):
    """Asks whether the instance answers; the response is ``Done``, at once."""


class HandOver(Message, frozen=True):
    """Passes on what a former home has left of the main shares of organisations."""

    handovers: list[Handover]


class Answer(Message, frozen=True):
    """The complete reply of a database.

    Attributes
    ----------
    rows : list of str
        Rows as received from the database.
    receipt : str
        The database's signature of the execution; empty if no database ran it.
    error : int
        Number of the result code with which the statement failed; 0 if it succeeded.
    detail : str
        Text that goes with ``error``.
    state : TransactionState
        Whether a transaction is open after the statement.
    position : tuple of int and int or None
        Position of the database's log after the statement.
    """

    rows: list[str]
    receipt: str
    error: int
    detail: str
    state: TransactionState
    position: _Position | None


class Done(Message, frozen=True):
    """The request was carried out."""


class Refused(Message, frozen=True):
    """The request failed.

    Attributes
    ----------
    code : int
        Number of the result code.
    detail : str
        Text that goes with it.
    retry_after_ms : int
        Time after which the request may be repeated.
    """

    code: int
    detail: str
    retry_after_ms: int


Request = (
    Lend
    | Run
    | Open
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
    | Follow
    | Charge
    | Refund
    | HandOver
    | Probe
)
Response = Lent | Opened | Answer | Done | Refused | Proved | Sealed | Followed

_ENCODER = msgspec.msgpack.Encoder()
_REQUESTS = msgspec.msgpack.Decoder(Request)
_RESPONSES = msgspec.msgpack.Decoder(Response)
_CODES = {code.number: code for code in ResultCode}


def encode(message: Message) -> bytes:
    """Return an encoded message, preceded by its length."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


def decode_request(body: bytes) -> Request:
    """Decode a request.

    Raises
    ------
    CodedError
        PEER_MALFORMED if the body is not a valid request.
    """
    return _decode(_REQUESTS, body)


def decode_response(body: bytes) -> Response:
    """Decode a response.

    Raises
    ------
    CodedError
        PEER_MALFORMED if the body is not a valid response.
    """
    return _decode(_RESPONSES, body)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise CodedError(ResultCode.PEER_MALFORMED, str(error)) from error


def to_refused(error: CodedError) -> Refused:
    """Return the message that reports an error."""
    return Refused(error.code.number, error.detail, error.retry_after_ms)


def to_error(refused: Refused) -> CodedError:
    """Return the error that a message reports."""
    code = _CODES.get(refused.code, ResultCode.OUTCOME_UNKNOWN)
    return CodedError(code, refused.detail, refused.retry_after_ms)


def to_answer(reply: Reply) -> Answer:
    """Return the message that carries a reply."""
    return Answer(
        reply.rows,
        reply.receipt,
        0 if reply.error is None else reply.error.number,
        reply.detail,
        reply.state,
        reply.position,
    )


def to_reply(answer: Answer) -> Reply:
    """Return the reply that a message carries."""
    error = None
    if answer.error:
        error = _CODES.get(answer.error, ResultCode.OUTCOME_UNKNOWN)
    return Reply(
        list(answer.rows),
        answer.receipt,
        error,
        answer.detail,
        answer.state,
        to_position(answer.position),
    )


def to_position(pair: _Position | None) -> LogPosition | None:
    """Return the position that a message carries, or None."""
    return None if pair is None else LogPosition(*pair)


def to_statement(message: Execute) -> Statement:
    """Return the statement that a message carries."""
    return Statement(
        message.request_id,
        message.kind,
        message.text,
        message.name,
        message.argument,
        message.is_write,
    )

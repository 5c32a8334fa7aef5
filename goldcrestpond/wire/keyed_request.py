"""Runs a request and stores its id and answer in the same transaction."""

from ..endpoint.endpoint_connection import EndpointConnection
from ..endpoint.endpoint_refusal import EndpointRefusal
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.frame import Frame
from ..group.log_position import LogPosition, parse_log_position
from .answer_end import STATUS_FAILED, STATUS_IDLE
from .answer_relay import POSITION_PARAMETER, AnswerRelay
from .caller_statements import CallerStatements
from .captured_answer import CapturedAnswer
from .expected_completions import ExpectedCompletions
from .keyed_answer import KeyedAnswer
from .request_record import encode_record, replay_record

_UNIQUE_VIOLATION_SQLSTATE = "23505"
_READ_ONLY_SQLSTATE = "25006"


class KeyedRequest:
    """One attempt at a request with an id.

    The id is inserted into the request table in the transaction of the request.
    Of several attempts, on any instance, at most one commits; the others find its
    answer in the table.

    Parameters
    ----------
    table : str
        Name of the route's request table.
    request_id : str
        Id of the request.
    frames : list of Frame
        Frames of the request.
    statements : CallerStatements
        The caller's prepared statements.

    Attributes
    ----------
    may_have_committed : bool
        Whether COMMIT was sent and not refused.
    """

    __slots__ = ("_frames", "_quoted_id", "_statements", "_table", "may_have_committed")

    def __init__(
        self,
        table: str,
        request_id: str,
        frames: list[Frame],
        statements: CallerStatements,
    ):
        self._table = table
        self._quoted_id = "'" + request_id.replace("'", "''") + "'"
        self._frames = frames
        self._statements = statements
        self.may_have_committed = False

    async def run(self, connection: EndpointConnection) -> KeyedAnswer:
        """Run the request, or return the stored answer of an earlier attempt.

        Raises
        ------
        CodedError
            If the attempt failed; the connection must be closed then.
            PRIMARY_REPLACED if the database no longer accepts writes.
        """
        await connection.query("BEGIN")
        try:
            await connection.query(
                f"INSERT INTO {self._table} (request_id, answer)"
                f" VALUES ({self._quoted_id}, '')"
            )
        except EndpointRefusal as refusal:
            return await self._resolve_refused_insert(refusal, connection)
        return await self._run_request(connection)

    async def _resolve_refused_insert(
        self, refusal: EndpointRefusal, connection: EndpointConnection
    ) -> KeyedAnswer:
        if refusal.sqlstate == _READ_ONLY_SQLSTATE:
            raise CodedError(ResultCode.PRIMARY_REPLACED) from refusal
        if refusal.sqlstate != _UNIQUE_VIOLATION_SQLSTATE:
            raise refusal
        await connection.query("ROLLBACK")
        return await self._read_stored_answer(connection)

    async def _read_stored_answer(self, connection: EndpointConnection) -> KeyedAnswer:
        # The UPDATE below changes nothing, but yields a log position. It is later in
        # the same log than the earlier attempt's commit, and so covers that too.
        result = await connection.query(
            f"SELECT answer FROM {self._table} WHERE request_id = {self._quoted_id}"
        )
        if not result.rows:
            raise CodedError(
                ResultCode.ANSWER_INTERRUPTED,
                "an earlier attempt with the same id was rolled back",
            )
        await connection.query(
            f"UPDATE {self._table} SET answer = answer"
            f" WHERE request_id = {self._quoted_id}"
        )
        answer = replay_record(result.rows[0][0] or "", self._frames)
        return KeyedAnswer(answer, _read_commit_position(connection))

    async def _run_request(self, connection: EndpointConnection) -> KeyedAnswer:
        captured = CapturedAnswer()
        expected = ExpectedCompletions()
        relay = AnswerRelay(connection, captured, expected)
        connection.is_broken = True  # until the whole answer has been read
        await connection.send(
            self._statements.rewrite(self._frames, connection, expected)
        )
        end = await relay.relay_to_end()
        connection.is_broken = False
        data = captured.data + end.held
        if end.status == STATUS_FAILED or end.is_error:
            await connection.query("ROLLBACK")
            return KeyedAnswer(data, None)
        if end.status == STATUS_IDLE:
            # The request itself ended the transaction.
            return KeyedAnswer(data, end.committed)
        return await self._commit(connection, data)

    async def _commit(self, connection: EndpointConnection, data: bytes) -> KeyedAnswer:
        record = encode_record(data)
        await connection.query(
            f"UPDATE {self._table} SET answer = '{record}'"
            f" WHERE request_id = {self._quoted_id}"
        )
        self.may_have_committed = True
        try:
            await connection.query("COMMIT")
        except EndpointRefusal:
            self.may_have_committed = False  # a refused COMMIT rolls back
            raise
        return KeyedAnswer(data, _read_commit_position(connection))


def _read_commit_position(connection: EndpointConnection) -> LogPosition:
    try:
        return parse_log_position(connection.parameters[POSITION_PARAMETER])
    except (KeyError, ValueError) as error:
        raise CodedError(
            ResultCode.ENDPOINT_MALFORMED, "no log position after a commit"
        ) from error

"""Runs a request together with the record of its id, in one transaction."""

from ..endpoint.endpoint_connection import EndpointConnection
from ..endpoint.endpoint_refusal import EndpointRefusal
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.frame import Frame
from ..group.log_position import LogPosition, parse_log_position
from .answer_end import STATUS_FAILED, STATUS_IDLE
from .answer_relay import POSITION_PARAMETER, AnswerRelay
from .answer_script import AnswerScript
from .caller_statements import CallerStatements
from .captured_answer import CapturedAnswer
from .keyed_answer import KeyedAnswer
from .request_record import replay_record, write_record

_UNIQUE_VIOLATION_SQLSTATE = "23505"
_READ_ONLY_SQLSTATE = "25006"


class KeyedRequest:
    """One attempt at a request with an id.

    The id is inserted in the request's own transaction: of several attempts,
    on any proxy, at most one commits, and the others find its answer.

    Parameters
    ----------
    table : str
        Request table of the route.
    request_id : str
        Identity of the request.
    frames : list of Frame
        The request.
    statements : CallerStatements
        The caller's prepared statements.

    Attributes
    ----------
    may_have_committed : bool
        True once the commit was sent; until then nothing can last.
    """

    __slots__ = ("_frames", "_id", "_statements", "_table", "may_have_committed")

    def __init__(
        self,
        table: str,
        request_id: str,
        frames: list[Frame],
        statements: CallerStatements,
    ):
        self._table = table
        self._id = "'" + request_id.replace("'", "''") + "'"
        self._frames = frames
        self._statements = statements
        self.may_have_committed = False

    async def run(self, connection: EndpointConnection) -> KeyedAnswer:
        """Run the request, or find the answer of an earlier attempt.

        Raises
        ------
        CodedError
            If the attempt failed; the connection must be closed then.
            PRIMARY_REPLACED if the database does not write any more.
        """
        await connection.query("BEGIN")
        try:
            await connection.query(
                f"INSERT INTO {self._table} (request_id, answer)"
                f" VALUES ({self._id}, '')"
            )
        except EndpointRefusal as refusal:
            return await self._after_refusal(refusal, connection)
        return await self._run_once(connection)

    async def _after_refusal(
        self, refusal: EndpointRefusal, connection: EndpointConnection
    ) -> KeyedAnswer:
        if refusal.sqlstate == _READ_ONLY_SQLSTATE:
            raise CodedError(ResultCode.PRIMARY_REPLACED) from refusal
        if refusal.sqlstate != _UNIQUE_VIOLATION_SQLSTATE:
            raise refusal
        await connection.query("ROLLBACK")
        return await self._find_answer(connection)

    async def _find_answer(self, connection: EndpointConnection) -> KeyedAnswer:
        # The read comes after the earlier commit in the same log, so that the
        # position of any write at or after it covers both.
        result = await connection.query(
            f"SELECT answer FROM {self._table} WHERE request_id = {self._id}"
        )
        if not result.rows:
            raise CodedError(
                ResultCode.ANSWER_INTERRUPTED, "an earlier attempt was rolled back"
            )
        await connection.query(
            f"UPDATE {self._table} SET answer = answer WHERE request_id = {self._id}"
        )
        answer = replay_record(result.rows[0][0] or "", self._frames)
        return KeyedAnswer(answer, _committed(connection))

    async def _run_once(self, connection: EndpointConnection) -> KeyedAnswer:
        captured = CapturedAnswer()
        script = AnswerScript()
        relay = AnswerRelay(connection, captured, script)
        connection.is_broken = True  # until the whole answer has been read
        await connection.send(
            self._statements.rewrite(self._frames, connection, script)
        )
        end = await relay.relay_to_end()
        connection.is_broken = False
        data = captured.data + end.held
        if end.status == STATUS_FAILED or end.is_error:
            await connection.query("ROLLBACK")
            return KeyedAnswer(data, None)
        if end.status == STATUS_IDLE:
            return KeyedAnswer(data, end.committed)  # the request ended it itself
        return await self._commit(connection, data)

    async def _commit(self, connection: EndpointConnection, data: bytes) -> KeyedAnswer:
        record = write_record(data)
        await connection.query(
            f"UPDATE {self._table} SET answer = '{record}'"
            f" WHERE request_id = {self._id}"
        )
        self.may_have_committed = True
        try:
            await connection.query("COMMIT")
        except EndpointRefusal:
            self.may_have_committed = False  # a refused commit is rolled back
            raise
        return KeyedAnswer(data, _committed(connection))


def _committed(connection: EndpointConnection) -> LogPosition:
    try:
        return parse_log_position(connection.parameters[POSITION_PARAMETER])
    except (KeyError, ValueError) as error:
        raise CodedError(
            ResultCode.ENDPOINT_MALFORMED, "no log position after a commit"
        ) from error

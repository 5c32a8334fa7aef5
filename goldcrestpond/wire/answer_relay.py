"""Relays one answer from an endpoint to a caller."""

from ..endpoint.endpoint_connection import EndpointConnection
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_error_fields, read_parameter
from ..group.log_position import LogPosition, parse_log_position
from .answer_end import AnswerEnd
from .caller_stream import CallerStream
from .expected_completions import ExpectedCompletions
from .held_answer import HeldAnswer

POSITION_PARAMETER = "group.position"
_READ_ONLY_SQLSTATE = "25006"
# Frames that an endpoint may send before the first statement has run.
_PRELIMINARY_KINDS = frozenset(
    (
        kinds.PARSE_COMPLETE,
        kinds.BIND_COMPLETE,
        kinds.CLOSE_COMPLETE,
        kinds.PARAMETER_DESCRIPTION,
        kinds.ROW_DESCRIPTION,
        kinds.NO_DATA,
    )
)
_GROUP_PREFIX = "group."
_COMPLETION_KINDS = frozenset(
    (
        kinds.PARSE_COMPLETE,
        kinds.BIND_COMPLETE,
        kinds.CLOSE_COMPLETE,
        kinds.ROW_DESCRIPTION,
        kinds.NO_DATA,
        kinds.COMMAND_COMPLETE,
        kinds.EMPTY_QUERY,
        kinds.PORTAL_SUSPENDED,
    )
)


class AnswerRelay:
    """Relays the frames of one answer and keeps track of its state.

    Parameters
    ----------
    connection : EndpointConnection
        Connection that receives the answer.
    caller : CallerStream
        Connection of the caller that the answer is sent to.
    expected : ExpectedCompletions
        Completions that the endpoint will send; not all of them are relayed.
    expects_primary : bool, default=False
        Whether a "read-only" error of the database means that it is no longer the
        primary. The request has not run then, and the error is not relayed.

    Attributes
    ----------
    completion_count : int
        Completions of the caller's own frames that have arrived.
    relayed_bytes : int
        Bytes sent to the caller.
    """

    __slots__ = (
        "_caller",
        "_committed",
        "_connection",
        "_held",
        "_expects_primary",
        "_is_error",
        "_preliminary",
        "_expected",
        "_skipped_error",
        "completion_count",
        "relayed_bytes",
    )

    def __init__(
        self,
        connection: EndpointConnection,
        caller: CallerStream,
        expected: ExpectedCompletions,
        expects_primary: bool = False,
    ):
        self._expects_primary = expects_primary
        self._preliminary: list[bytes] = []
        self._connection = connection
        self._caller = caller
        self._expected = expected
        self._held = HeldAnswer()
        self._committed: LogPosition | None = None
        self._is_error = False
        self._skipped_error = False
        self.completion_count = 0
        self.relayed_bytes = 0

    async def relay_to_end(self) -> AnswerEnd:
        """Relay up to ReadyForQuery, which itself is not relayed.

        Raises
        ------
        CallerGone
            If the connection to the caller is lost; the rest of the answer has
            then not been read from the endpoint.
        CodedError
            If the answer is interrupted or malformed; PRIMARY_REPLACED if the
            database no longer accepts writes.
        """
        while True:
            out: list[bytes] = []
            for frame in await self._connection.receive_frames():
                if frame.kind == kinds.READY_FOR_QUERY and not self._is_skipping():
                    self._release_preliminary(out)
                    await self._send(out)
                    return self._build_end(frame)
                self._process_frame(frame, out)
            await self._send(out)

    async def relay_completions(self, expected_count: int) -> None:
        """Relay until ``completion_count`` is ``expected_count`` or an error came.

        Used after a Flush, which is not answered by a ReadyForQuery.
        """
        while self.completion_count < expected_count and not self._is_error:
            out: list[bytes] = []
            for frame in await self._connection.receive_frames():
                self._process_frame(frame, out)
            out.append(self._held.release())
            await self._send(out)

    def _is_skipping(self) -> bool:
        return self._expected.answers_to_skip > 0

    def _process_frame(self, frame: Frame, out: list[bytes]) -> None:
        kind = frame.kind
        if self._is_skipping():
            self._skip(frame)
        elif kind == kinds.DATA_ROW:
            self._forward(frame, out)
        elif kind == kinds.PARAMETER_STATUS:
            self._process_parameter(frame, out)
        elif kind == kinds.PARSE_COMPLETE:
            self._process_parse_complete(frame, out)
        elif kind == kinds.CLOSE_COMPLETE:
            self._process_close_complete(frame, out)
        elif kind == kinds.COPY_IN or kind == kinds.COPY_BOTH:
            raise CodedError(ResultCode.NOT_CARRIED, "COPY")
        elif kind != kinds.NOTIFICATION:
            if kind == kinds.ERROR:
                self._process_error(frame)
            self.completion_count += kind in _COMPLETION_KINDS
            self._forward(frame, out)

    def _process_error(self, frame: Frame) -> None:
        self._is_error = True
        if not self._expects_primary:
            return
        if read_error_fields(frame).get("C") == _READ_ONLY_SQLSTATE:
            raise CodedError(ResultCode.PRIMARY_REPLACED)

    def _forward(self, frame: Frame, out: list[bytes]) -> None:
        """Relay a frame; delay those that precede the first result.

        While a "read-only" error is possible, preliminary frames are kept back, so
        that the request can be repeated on the new primary.
        """
        if self._expects_primary and frame.kind in _PRELIMINARY_KINDS:
            self._preliminary.append(frame.data)
            return
        self._release_preliminary(out)
        out.append(self._held.take(frame))

    def _release_preliminary(self, out: list[bytes]) -> None:
        self._expects_primary = False
        out.extend(self._preliminary)
        self._preliminary.clear()

    def _skip(self, frame: Frame) -> None:
        if frame.kind == kinds.ERROR:
            self._skipped_error = True
        elif frame.kind == kinds.READY_FOR_QUERY:
            self._expected.answers_to_skip -= 1
            if self._skipped_error:
                raise CodedError(
                    ResultCode.ENDPOINT_REFUSED,
                    "the endpoint refused SET default_transaction_read_only",
                )

    def _process_parameter(self, frame: Frame, out: list[bytes]) -> None:
        status = read_parameter(frame)
        self._connection.parameters[status.name] = status.value
        if status.name == POSITION_PARAMETER:
            self._committed = _parse_position(status.value)
        elif not status.name.startswith(_GROUP_PREFIX):
            out.append(self._held.take(frame))

    def _process_parse_complete(self, frame: Frame, out: list[bytes]) -> None:
        if not self._expected.parses:
            raise CodedError(ResultCode.ENDPOINT_MALFORMED, "unexpected ParseComplete")
        parse = self._expected.parses.popleft()
        if parse.name:
            self._connection.prepared[parse.name] = None
        if parse.is_relayed:
            self.completion_count += 1
            self._forward(frame, out)

    def _process_close_complete(self, frame: Frame, out: list[bytes]) -> None:
        if not self._expected.closes:
            raise CodedError(ResultCode.ENDPOINT_MALFORMED, "unexpected CloseComplete")
        close = self._expected.closes.popleft()
        self._connection.prepared.pop(close.name, None)
        if close.is_relayed:
            self.completion_count += 1
            self._forward(frame, out)

    async def _send(self, out: list[bytes]) -> None:
        data = b"".join(out)
        if data:
            self.relayed_bytes += len(data)
            await self._caller.send(data)

    def _build_end(self, ready: Frame) -> AnswerEnd:
        return AnswerEnd(
            status=ready.data[5],
            committed=self._committed,
            held=self._held.release(),
            is_error=self._is_error,
        )


def _parse_position(text: str) -> LogPosition:
    try:
        return parse_log_position(text)
    except ValueError as error:
        raise CodedError(
            ResultCode.ENDPOINT_MALFORMED, "unreadable log position"
        ) from error

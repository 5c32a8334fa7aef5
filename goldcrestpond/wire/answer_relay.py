"""Relays one answer from an endpoint to a caller."""

from ..endpoint.endpoint_connection import EndpointConnection
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.read import read_error_fields, read_parameter
from ..group.log_position import LogPosition, parse_log_position
from .answer_end import AnswerEnd
from .answer_script import AnswerScript
from .caller_stream import CallerStream
from .held_answer import HeldAnswer

POSITION_PARAMETER = "group.position"
_READ_ONLY_SQLSTATE = "25006"
# What an endpoint may say before the first statement has run.
_PRELUDE = frozenset(
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
_COMPLETIONS = frozenset(
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
    """State of one answer on its way.

    Parameters
    ----------
    connection : EndpointConnection
        Where the answer comes from.
    caller : CallerStream
        Where it goes.
    script : AnswerScript
        Which completions the caller did not ask for.
    expects_primary : bool, default=False
        Whether a refusal to write means that the database was replaced as the
        primary; the request has not run then, and the caller is not told.
    """

    __slots__ = (
        "_caller",
        "_committed",
        "_connection",
        "_held",
        "_expects_primary",
        "_is_error",
        "_prelude",
        "_script",
        "_skipped_error",
        "completions",
        "relayed_bytes",
    )

    def __init__(
        self,
        connection: EndpointConnection,
        caller: CallerStream,
        script: AnswerScript,
        expects_primary: bool = False,
    ):
        self._expects_primary = expects_primary
        self._prelude: list[bytes] = []
        self._connection = connection
        self._caller = caller
        self._script = script
        self._held = HeldAnswer()
        self._committed: LogPosition | None = None
        self._is_error = False
        self._skipped_error = False
        self.completions = 0
        self.relayed_bytes = 0

    async def relay_to_end(self) -> AnswerEnd:
        """Relay until ReadyForQuery, which is not sent on.

        Raises
        ------
        CallerGone
            If the caller left; the connection is then mid-answer.
        CodedError
            If the answer breaks off or cannot be read; PRIMARY_REPLACED if
            the database does not write any more.
        """
        while True:
            out: list[bytes] = []
            for frame in await self._connection.receive_frames():
                if frame.kind == kinds.READY_FOR_QUERY and not self._is_skipping():
                    self._release_prelude(out)
                    await self._send(out)
                    return self._end(frame)
                self._take(frame, out)
            await self._send(out)

    async def relay_completions(self, expected: int) -> None:
        """Relay until ``expected`` more completions or an error has passed.

        Used after a Flush, which has no ReadyForQuery of its own.
        """
        while self.completions < expected and not self._is_error:
            out: list[bytes] = []
            for frame in await self._connection.receive_frames():
                self._take(frame, out)
            out.append(self._held.release())
            await self._send(out)

    def _is_skipping(self) -> bool:
        return self._script.skipped_answers > 0

    def _take(self, frame: Frame, out: list[bytes]) -> None:
        kind = frame.kind
        if self._is_skipping():
            self._skip(frame)
        elif kind == kinds.DATA_ROW:
            self._pass_on(frame, out)
        elif kind == kinds.PARAMETER_STATUS:
            self._take_parameter(frame, out)
        elif kind == kinds.PARSE_COMPLETE:
            self._take_parse_complete(frame, out)
        elif kind == kinds.CLOSE_COMPLETE:
            self._take_close_complete(frame, out)
        elif kind == kinds.COPY_IN or kind == kinds.COPY_BOTH:
            raise CodedError(ResultCode.NOT_CARRIED, "COPY")
        elif kind != kinds.NOTIFICATION:
            if kind == kinds.ERROR:
                self._take_error(frame)
            self.completions += kind in _COMPLETIONS
            self._pass_on(frame, out)

    def _take_error(self, frame: Frame) -> None:
        self._is_error = True
        if not self._expects_primary:
            return
        if read_error_fields(frame).get("C") == _READ_ONLY_SQLSTATE:
            raise CodedError(ResultCode.PRIMARY_REPLACED)

    def _pass_on(self, frame: Frame, out: list[bytes]) -> None:
        """Send a frame on, the prelude of a first answer together with the rest."""
        if self._expects_primary and frame.kind in _PRELUDE:
            self._prelude.append(frame.data)
            return
        self._release_prelude(out)
        out.append(self._held.take(frame))

    def _release_prelude(self, out: list[bytes]) -> None:
        self._expects_primary = False
        out.extend(self._prelude)
        self._prelude.clear()

    def _skip(self, frame: Frame) -> None:
        if frame.kind == kinds.ERROR:
            self._skipped_error = True
        elif frame.kind == kinds.READY_FOR_QUERY:
            self._script.skipped_answers -= 1
            if self._skipped_error:
                raise CodedError(
                    ResultCode.ENDPOINT_REFUSED, "a session setting was refused"
                )

    def _take_parameter(self, frame: Frame, out: list[bytes]) -> None:
        status = read_parameter(frame)
        self._connection.parameters[status.name] = status.value
        if status.name == POSITION_PARAMETER:
            self._committed = _read_position(status.value)
        elif not status.name.startswith(_GROUP_PREFIX):
            out.append(self._held.take(frame))

    def _take_parse_complete(self, frame: Frame, out: list[bytes]) -> None:
        if not self._script.parses:
            raise CodedError(ResultCode.ENDPOINT_MALFORMED, "ParseComplete unasked")
        step = self._script.parses.popleft()
        if step.name:
            self._connection.prepared[step.name] = None
        if step.is_relayed:
            self.completions += 1
            self._pass_on(frame, out)

    def _take_close_complete(self, frame: Frame, out: list[bytes]) -> None:
        if not self._script.closes:
            raise CodedError(ResultCode.ENDPOINT_MALFORMED, "CloseComplete unasked")
        step = self._script.closes.popleft()
        self._connection.prepared.pop(step.name, None)
        if step.is_relayed:
            self.completions += 1
            self._pass_on(frame, out)

    async def _send(self, out: list[bytes]) -> None:
        data = b"".join(out)
        if data:
            self.relayed_bytes += len(data)
            await self._caller.send(data)

    def _end(self, ready: Frame) -> AnswerEnd:
        return AnswerEnd(
            status=ready.data[5],
            committed=self._committed,
            held=self._held.release(),
            is_error=self._is_error,
        )


def _read_position(text: str) -> LogPosition:
    try:
        return parse_log_position(text)
    except ValueError as error:
        raise CodedError(
            ResultCode.ENDPOINT_MALFORMED, "log position cannot be read"
        ) from error

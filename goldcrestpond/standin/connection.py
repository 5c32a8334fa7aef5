"""Server side of one connection in PostgreSQL's protocol, version 3."""

import math
import secrets
import struct
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketStream
from pygwire import TransactionStatus
from pygwire.exceptions import PygwireError
from pygwire.messages import (
    STARTUP_REGISTRY,
    AuthenticationOk,
    BackendKeyData,
    Bind,
    BindComplete,
    CancelRequest,
    Close,
    CloseComplete,
    CommandComplete,
    DataRow,
    Describe,
    EmptyQueryResponse,
    ErrorResponse,
    Execute,
    FieldDescription,
    Flush,
    NoData,
    ParameterDescription,
    ParameterStatus,
    Parse,
    ParseComplete,
    PGMessage,
    PortalSuspended,
    Query,
    ReadyForQuery,
    RowDescription,
    StartupMessage,
    Sync,
    Terminate,
)

from ..errors.coded_error import CodedError
from ..frames.frame import Frame
from ..frames.frame_splitter import FrameSplitter
from ..wire.scram_login import log_in_by_scram
from .database_error import DatabaseError
from .portal import Portal
from .session import Result, Session
from .session_settings import REPORTED_PARAMETERS
from .statement import Statement, parse_statement, split_statements
from .values import TEXT_OID, decode_value, encode_value

if TYPE_CHECKING:
    from .database_server import DatabaseServer

_LENGTH = struct.Struct("!I")
_MESSAGES = {
    message.identifier[0]: message
    for message in (Bind, Close, Describe, Execute, Flush, Parse, Query, Sync)
}
_TERMINATE = Terminate.identifier[0]
_NO_ENCRYPTION = b"N"
_RECEIVE_BYTES = 65536
_SETTINGS_KEYWORDS = {"SET", "SHOW", "RESET", "DISCARD"}


class ConnectionLost(Exception):
    """The connection is to be closed without sending anything more."""


class ServerConnection:
    """Serves one client: reads messages, runs statements and writes the answers.

    Parameters
    ----------
    server : DatabaseServer
        Server of the database, with its limits and faults.
    stream : SocketStream
        Connection to the client.
    process_id : int
        Process id sent in BackendKeyData; identifies this connection.
    """

    def __init__(self, server: "DatabaseServer", stream: SocketStream, process_id: int):
        self.process_id = process_id
        self.secret_key = secrets.token_bytes(4)
        self.is_frozen = False
        self.is_active = False
        self._server = server
        self._stream = stream
        self._input = bytearray()
        self._output = bytearray()
        self._session: Session | None = None
        self._portals: dict[str, Portal] = {}
        self._skips_until_sync = False
        self._has_buffered_result = False
        self._statement_scope: anyio.CancelScope | None = None

    def cancel(self) -> None:
        """Cancel the running statement, if there is one."""
        if self._statement_scope is not None:
            self._statement_scope.cancel()

    async def serve(self) -> None:
        """Serve until the client disconnects."""
        startup = await self._read_startup()
        if startup is None:
            return
        if self._server.faults.hang:
            await anyio.sleep_forever()
        await anyio.sleep(self._server.settings.connection_delay_ms / 1000)
        try:
            await self._open_session(startup)
        except DatabaseError as error:
            self._append_message(_make_error_response(error, "FATAL"))
            await self._flush()
            return
        while True:
            await self._serve_frames()
            await self._flush()
            await self._receive()

    # Bytes

    async def _receive(self) -> None:
        data = await self._stream.receive(_RECEIVE_BYTES)
        await self._wait_while_silent()
        self._input += data

    async def _flush(self) -> None:
        if not self._output:
            return
        await self._wait_while_silent()
        data = bytes(self._output)
        self._output.clear()
        faults = self._server.faults
        if faults.cut > 0 and self._has_buffered_result:
            faults.cut -= 1
            await self._stream.send(data[: max(1, len(data) // 2)])
            raise ConnectionLost
        self._has_buffered_result = False
        await self._stream.send(data)

    async def _wait_while_silent(self) -> None:
        while self.is_frozen or self._server.faults.partition_callers:
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        if self.is_frozen:
            await anyio.sleep_forever()
        await self._server.changed.wait()

    def _append_message(self, message: PGMessage) -> None:
        self._output += message.to_wire()

    async def _read_startup(self) -> StartupMessage | None:
        while True:
            while len(self._input) < 4 or len(self._input) < self._startup_length():
                await self._receive()
            length = self._startup_length()
            payload = memoryview(bytes(self._input[4:length]))
            del self._input[:length]
            code = _LENGTH.unpack_from(payload)[0] if len(payload) >= 4 else 0
            message_class = STARTUP_REGISTRY.lookup(code)
            if message_class is None:
                return None
            message = message_class.decode(payload)
            if isinstance(message, StartupMessage):
                return message
            if isinstance(message, CancelRequest):
                self._server.cancel(message.process_id, message.secret_key)
                return None
            await self._stream.send(_NO_ENCRYPTION)

    def _startup_length(self) -> int:
        return _LENGTH.unpack_from(self._input)[0]

    # Messages

    async def _open_session(self, startup: StartupMessage) -> None:
        self._server.register_connection(self)
        if self._server.verifier is not None:
            await self._authenticate()
        self._session = Session(self._server.database, startup.params)
        self._append_message(AuthenticationOk())
        for name in REPORTED_PARAMETERS:
            self._append_message(ParameterStatus(name, self._session.settings[name]))
        term = str(self._server.database.term)
        self._append_message(ParameterStatus("group.term", term))
        self._append_message(BackendKeyData(self.process_id, self.secret_key))
        self._append_message(ReadyForQuery())

    async def _authenticate(self) -> None:
        try:
            await log_in_by_scram(self, self._server.verifier)
        except CodedError as error:
            raise DatabaseError("28P01", "password authentication failed") from error

    async def next_frame(self) -> Frame:
        """Return the client's next authentication message."""
        splitter = FrameSplitter(_RECEIVE_BYTES)
        while not (frames := splitter.feed(bytes(self._input))):
            self._input.clear()
            await self._receive()
        self._input.clear()
        return frames[0]

    async def send(self, data: bytes) -> None:
        """Send an authentication message."""
        await self._stream.send(data)

    async def _serve_frames(self) -> None:
        while len(self._input) >= 5:
            length = 1 + _LENGTH.unpack_from(self._input, 1)[0]
            if len(self._input) < length:
                return
            identifier = self._input[0]
            payload = memoryview(bytes(self._input[5:length]))
            del self._input[:length]
            if identifier == _TERMINATE:
                raise ConnectionLost
            await self._serve_frame(identifier, payload)

    async def _serve_frame(self, identifier: int, payload: memoryview) -> None:
        message_class = _MESSAGES.get(identifier)
        if self._skips_until_sync and message_class is not Sync:
            return
        try:
            if message_class is None:
                raise DatabaseError(
                    "08P01", f"unsupported message type {chr(identifier)!r}"
                )
            await _MESSAGE_HANDLERS[message_class](self, message_class.decode(payload))
        except (PygwireError, struct.error, UnicodeDecodeError) as error:
            self._report_error(DatabaseError("08P01", str(error)), message_class)
        except (ValueError, OverflowError) as error:
            self._report_error(DatabaseError("22P02", str(error)), message_class)
        except DatabaseError as error:
            self._report_error(error, message_class)

    def _report_error(self, error: DatabaseError, message_class: type | None) -> None:
        if self._session.transaction:
            self._session.transaction.is_failed = True
        self._append_message(_make_error_response(error, "ERROR"))
        if message_class in (Query, Sync):
            self._end_implicit_transaction_and_report_ready()
        else:
            self._skips_until_sync = True

    async def _handle_query(self, message: Query) -> None:
        statements = split_statements(message.query_string)
        if not statements:
            self._append_message(EmptyQueryResponse())
        for index, statement in enumerate(statements):
            result = await self._run_statement(statement, ())
            if index == len(statements) - 1:
                self._end_implicit_transaction()
            if result.columns:
                self._append_message(_make_row_description(result, []))
            self._append_rows(result, result.rows, [])
            self._append_message(CommandComplete(result.tag))
        self._report_ready()

    async def _handle_parse(self, message: Parse) -> None:
        statement = parse_statement(message.query)
        prepared = self._session.prepared
        if message.statement and message.statement in prepared:
            raise DatabaseError(
                "42P05", f"prepared statement {message.statement!r} already exists"
            )
        types = self._session.parameter_types(statement, message.param_types)
        prepared[message.statement] = (statement, types)
        self._append_message(ParseComplete())

    async def _handle_bind(self, message: Bind) -> None:
        statement, types = self._get_prepared(message.statement)
        if len(message.param_values) != len(types):
            raise DatabaseError("08P01", f"{len(types)} parameters are required")
        formats = _expand_formats(message.param_formats, len(types))
        values = zip(message.param_values, types, formats, strict=True)
        parameters = tuple(decode_value(*value) for value in values)
        self._portals[message.portal] = Portal(
            statement, types, parameters, message.result_formats
        )
        self._append_message(BindComplete())

    def _get_prepared(self, name: str) -> tuple[Statement, list[int]]:
        try:
            return self._session.prepared[name]
        except KeyError:
            raise DatabaseError(
                "26000", f"prepared statement {name!r} does not exist"
            ) from None

    def _get_portal(self, name: str) -> Portal:
        try:
            return self._portals[name]
        except KeyError:
            raise DatabaseError("34000", f"portal {name!r} does not exist") from None

    async def _handle_describe(self, message: Describe) -> None:
        formats: list[int] = []
        if message.kind == "S":
            statement, types = self._get_prepared(message.name)
            self._append_message(ParameterDescription(types))
        else:
            portal = self._get_portal(message.name)
            statement, types = portal.statement, portal.parameter_types
            formats = portal.result_formats
        columns = self._session.describe(statement, types)
        description = _make_row_description(Result("", columns), formats)
        self._append_message(description if columns else NoData())

    async def _handle_execute(self, message: Execute) -> None:
        portal = self._get_portal(message.portal)
        if not portal.statement.keyword:
            self._append_message(EmptyQueryResponse())
            return
        if portal.result is None:
            portal.result = await self._run_statement(
                portal.statement, portal.parameters
            )
        rows, is_suspended = portal.take_rows(message.max_rows)
        self._append_rows(portal.result, rows, portal.result_formats)
        if is_suspended:
            self._append_message(PortalSuspended())
            return
        self._append_message(CommandComplete(portal.result.tag))

    async def _handle_close(self, message: Close) -> None:
        names = self._session.prepared if message.kind == "S" else self._portals
        names.pop(message.name, None)
        self._append_message(CloseComplete())

    async def _handle_sync(self, message: Sync) -> None:
        self._skips_until_sync = False
        self._end_implicit_transaction()
        self._report_ready()

    async def _handle_flush(self, message: Flush) -> None:
        await self._flush()

    # Statements

    async def _run_statement(self, statement: Statement, parameters: tuple) -> Result:
        call = statement.parse_control_call()
        if call is not None:
            return self._run_control_function(*call, parameters)
        if statement.sql.lower() == "show group_status":
            return self._session.run(statement, parameters)
        process_id = statement.parse_activity_process_id()
        if process_id is not None:
            return self._query_activity(process_id)
        self._has_buffered_result = True
        if statement.keyword not in _SETTINGS_KEYWORDS:
            self._server.last_statement_at = self._server.clock.now()
        self.is_active = True
        try:
            await self._wait_service_time(statement.get_sleep_s(parameters))
            return self._session.run(statement, parameters)
        finally:
            self.is_active = False

    def _query_activity(self, process_id: int) -> Result:
        other = self._server.connections.get(process_id)
        rows = []
        if other is not None:
            rows.append(("active" if other.is_active else "idle",))
        return Result(f"SELECT {len(rows)}", [("state", TEXT_OID)], rows)

    async def _wait_service_time(self, sleep_s: float) -> None:
        """Occupy a statement slot for the statement's service time."""
        service_s = sleep_s + self._server.faults.statement_delay_ms / 1000
        timeout_ms = float(self._session.settings["statement_timeout"] or 0)
        limit_s = timeout_ms / 1000 if timeout_ms else math.inf
        with anyio.move_on_after(limit_s) as self._statement_scope:
            async with self._server.slots:
                if service_s:
                    await anyio.sleep(service_s)
        is_cancelled = self._statement_scope.cancelled_caught
        self._statement_scope = None
        if is_cancelled:
            raise DatabaseError(
                "57014", "canceling statement due to user request or timeout"
            )

    def _run_control_function(
        self, name: str, arguments: str, parameters: tuple
    ) -> Result:
        database = self._server.database
        values = database.run([], parse_statement(f"SELECT {arguments}"), parameters)
        self._server.run_control_function(self._server, name, values.rows[0])
        return self._session.make_status_result("SELECT 1")

    def _end_implicit_transaction(self) -> None:
        self._session.end_implicit_transaction()
        position = self._session.committed_position
        if position is None or self._session.transaction:
            return
        if self._server.faults.lose_answer > 0:
            self._server.faults.lose_answer -= 1
            raise ConnectionLost

    def _end_implicit_transaction_and_report_ready(self) -> None:
        try:
            self._end_implicit_transaction()
        except DatabaseError as error:
            self._append_message(_make_error_response(error, "ERROR"))
        self._report_ready()

    def _report_ready(self) -> None:
        session = self._session
        for name in session.changed_settings & REPORTED_PARAMETERS.keys():
            self._append_message(ParameterStatus(name, session.settings[name]))
        session.changed_settings.clear()
        if session.committed_position and not session.transaction:
            position = str(session.committed_position)
            self._append_message(ParameterStatus("group.position", position))
            session.committed_position = None
        if session.transaction is None:
            self._portals.clear()
        self._append_message(
            ReadyForQuery(TransactionStatus(session.transaction_status))
        )

    def _append_rows(
        self, result: Result, rows: list[tuple], result_formats: list[int]
    ) -> None:
        formats = _expand_formats(result_formats, len(result.columns))
        oids = [oid for _, oid in result.columns]
        for row in rows if result.columns else ():
            cells = zip(row, oids, formats, strict=True)
            self._append_message(DataRow([encode_value(*cell) for cell in cells]))


def _expand_formats(formats: list[int], count: int) -> list[bool]:
    """Return for each of ``count`` values whether its format is binary.

    One format code or none applies to all values.
    """
    if len(formats) < 2:
        return [bool(formats and formats[0])] * count
    return [bool(code) for code in formats]


def _make_row_description(result: Result, result_formats: list[int]) -> RowDescription:
    formats = _expand_formats(result_formats, len(result.columns))
    columns = zip(result.columns, formats, strict=True)
    return RowDescription(
        [
            FieldDescription(
                name=name,
                type_oid=oid,
                type_size=-1,
                type_modifier=-1,
                format_code=int(is_binary),
            )
            for (name, oid), is_binary in columns
        ]
    )


def _make_error_response(error: DatabaseError, severity: str) -> ErrorResponse:
    fields = {"S": severity, "V": severity, "C": error.sqlstate, "M": str(error)}
    return ErrorResponse(fields)


_MESSAGE_HANDLERS = {
    Query: ServerConnection._handle_query,
    Parse: ServerConnection._handle_parse,
    Bind: ServerConnection._handle_bind,
    Describe: ServerConnection._handle_describe,
    Execute: ServerConnection._handle_execute,
    Close: ServerConnection._handle_close,
    Sync: ServerConnection._handle_sync,
    Flush: ServerConnection._handle_flush,
}

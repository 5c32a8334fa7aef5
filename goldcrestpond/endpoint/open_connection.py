"""Opens and authenticates a connection to a database."""

import anyio
from pygwire.messages import BackendKeyData, StartupMessage

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from ..frames.frame_splitter import FrameSplitter
from ..frames.read import read_error_fields, read_parameter
from ..settings.address import Address
from .endpoint_connection import EndpointConnection
from .endpoint_refusal import EndpointRefusal
from .login import Login
from .scram_client import ScramClientLogin

ENDPOINT_FRAME_LIMIT_BYTES = 1 << 30  # PostgreSQL's limit for one message


async def open_connection(address: Address, login: Login) -> EndpointConnection:
    """Connect, authenticate and wait until the endpoint is ready for queries.

    There is no timeout here; callers wrap the call in a cancel scope.

    Raises
    ------
    CodedError
        ENDPOINT_UNREACHABLE if the connection or the login fails.
    EndpointRefusal
        If the endpoint answers with an error, for instance 53300 (too many
        connections).
    """
    try:
        stream = await anyio.connect_tcp(address.host, address.port)
    except OSError as error:
        raise CodedError(
            ResultCode.ENDPOINT_UNREACHABLE, f"cannot connect to {address}"
        ) from error
    splitter = FrameSplitter(ENDPOINT_FRAME_LIMIT_BYTES)
    connection = EndpointConnection(stream, splitter, address)
    try:
        await _log_in(connection, login)
    except EndpointRefusal:
        await _close(connection)
        raise
    except CodedError as error:
        await _close(connection)
        raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, error.detail) from error
    except BaseException:
        await _close(connection)
        raise
    return connection


async def _close(connection: EndpointConnection) -> None:
    connection.is_broken = True
    await connection.aclose()


async def _log_in(connection: EndpointConnection, login: Login) -> None:
    startup = {
        "user": login.user,
        "database": login.database,
        "client_encoding": "UTF8",
        "application_name": "goldcrestpond",
    }
    await connection.send(StartupMessage(params=startup).to_wire())
    scram = ScramClientLogin(login.user, login.password)
    while True:
        for frame in await connection.receive_frames():
            if frame.kind == kinds.READY_FOR_QUERY:
                return
            if frame.kind == kinds.AUTHENTICATION:
                await _send_response(connection, scram.answer(frame))
            else:
                _process_startup_frame(connection, frame)


async def _send_response(connection: EndpointConnection, response: bytes) -> None:
    if response:
        await connection.send(response)


def _process_startup_frame(connection: EndpointConnection, frame: Frame) -> None:
    if frame.kind == kinds.ERROR:
        fields = read_error_fields(frame)
        raise EndpointRefusal(fields.get("C", ""), fields.get("M", ""))
    if frame.kind == kinds.PARAMETER_STATUS:
        status = read_parameter(frame)
        connection.parameters[status.name] = status.value
    elif frame.kind == kinds.BACKEND_KEY_DATA:
        key = BackendKeyData.decode(frame.body)
        connection.process_id = key.process_id
        connection.secret_key = bytes(key.secret_key)

"""Reads a caller's startup packet."""

import struct
from dataclasses import dataclass

from pygwire.constants import StartupRequestCode
from pygwire.exceptions import PygwireError
from pygwire.messages import CancelRequest, StartupMessage

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .caller_access import CallerAccess
from .caller_stream import CallerStream

MAX_STARTUP_BYTES = 10_000  # PostgreSQL's limit for a startup packet
_MIN_PACKET_BYTES = 8
_REFUSE_ENCRYPTION = b"N"
_ACCEPT_TLS = b"S"
_ENCRYPTION_REQUESTS = frozenset(
    (StartupRequestCode.SSL_REQUEST, StartupRequestCode.GSSENC_REQUEST)
)


@dataclass(frozen=True, slots=True)
class StartupRequest:
    """A packet received before the session has started.

    Attributes
    ----------
    code : int
        Protocol version, or the code of a request for encryption or cancellation.
    body : bytes
        Payload, including the code.
    """

    code: int
    body: bytes


async def read_startup(
    stream: CallerStream, access: CallerAccess
) -> StartupMessage | CancelRequest:
    """Read packets until one starts a session or cancels a request.

    A request for TLS is accepted if ``access`` has a TLS context. Other requests for
    encryption are refused; the caller may then continue unencrypted or disconnect.

    Raises
    ------
    CallerGone
        If the connection to the caller is lost.
    CodedError
        MALFORMED_STARTUP if a packet cannot be read, ENCRYPTION_REQUIRED if the
        connection is unencrypted and ``access`` requires TLS.
    """
    is_encrypted = False
    while True:
        request = await _read_packet(stream)
        if request.code == StartupRequestCode.SSL_REQUEST and not is_encrypted:
            is_encrypted = await _answer_tls_request(stream, access)
        elif request.code in _ENCRYPTION_REQUESTS:
            await stream.send(_REFUSE_ENCRYPTION)
        else:
            message = _decode(request)
            if access.requires_tls and not is_encrypted:
                raise CodedError(ResultCode.ENCRYPTION_REQUIRED)
            return message


async def _answer_tls_request(stream: CallerStream, access: CallerAccess) -> bool:
    if access.tls is None:
        await stream.send(_REFUSE_ENCRYPTION)
        return False
    await stream.send(_ACCEPT_TLS)
    await stream.start_tls(access.tls)
    return True


async def _read_packet(stream: CallerStream) -> StartupRequest:
    (length,) = struct.unpack("!I", await stream.read_exactly(4))
    if not _MIN_PACKET_BYTES <= length <= MAX_STARTUP_BYTES:
        raise CodedError(
            ResultCode.MALFORMED_STARTUP,
            f"startup packet length {length} is out of range",
        )
    body = await stream.read_exactly(length - 4)
    (code,) = struct.unpack_from("!I", body)
    return StartupRequest(code, body)


def _decode(request: StartupRequest) -> StartupMessage | CancelRequest:
    try:
        if request.code == StartupRequestCode.CANCEL_REQUEST:
            return CancelRequest.decode(memoryview(request.body))
        if request.code >> 16 == StartupRequestCode.V3_0 >> 16:
            return StartupMessage.decode(memoryview(request.body))
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(ResultCode.MALFORMED_STARTUP, str(error)) from error
    raise CodedError(ResultCode.MALFORMED_STARTUP, f"request code {request.code:#x}")

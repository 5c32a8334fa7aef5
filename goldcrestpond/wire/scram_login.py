"""Authenticates a caller by SCRAM-SHA-256."""

import struct

from pygwire.exceptions import PygwireError
from pygwire.messages import (
    AuthenticationSASL,
    AuthenticationSASLContinue,
    AuthenticationSASLFinal,
    SASLInitialResponse,
    SASLResponse,
)
from scramp import ScramException, ScramMechanism
from scramp.core import ScramServer

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.frame import Frame
from .caller_stream import CallerStream
from .scram_verifier import MECHANISM, ScramVerifier

# The protocol names the user in the startup packet and leaves it empty here;
# the library takes no empty name.
_EMPTY_NAME = "n=,"
_ANY_NAME = "n=caller,"


async def log_in_by_scram(stream: CallerStream, verifier: ScramVerifier) -> None:
    """Let a caller prove that it knows the password.

    Raises
    ------
    CallerGone
        If the caller leaves.
    CodedError
        AUTHENTICATION_FAILED.
    """
    server = ScramMechanism(MECHANISM).make_server(lambda _: _auth_info(verifier))
    await stream.send(AuthenticationSASL(mechanisms=[MECHANISM]).to_wire())
    first = _decode(SASLInitialResponse, await _next_password(stream))
    if first.mechanism != MECHANISM:
        raise CodedError(ResultCode.AUTHENTICATION_FAILED, "mechanism")
    answer = _step(lambda: _take_first(server, first.data.decode()))
    await stream.send(AuthenticationSASLContinue(data=answer).to_wire())
    final = _decode(SASLResponse, await _next_password(stream))
    answer = _step(lambda: _take_final(server, final.data.decode()))
    await stream.send(AuthenticationSASLFinal(data=answer).to_wire())


def _auth_info(verifier: ScramVerifier) -> tuple[bytes, bytes, bytes, int]:
    return (
        verifier.salt,
        verifier.stored_key,
        verifier.server_key,
        verifier.rounds,
    )


async def _next_password(stream: CallerStream) -> Frame:
    frame = await stream.next_frame()
    if frame.kind != kinds.PASSWORD:
        raise CodedError(ResultCode.AUTHENTICATION_FAILED, "no password message")
    return frame


def _decode(message_type, frame: Frame):
    try:
        return message_type.decode(frame.body)
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(ResultCode.AUTHENTICATION_FAILED, "unreadable") from error


def _take_first(server: ScramServer, message: str) -> str:
    header, _, bare = message.partition(_EMPTY_NAME)
    if header.count(",") != 2 or not bare:
        server.set_client_first(message)
        return server.get_server_first()
    server.set_client_first(header + _ANY_NAME + bare)
    server.client_first_bare = _EMPTY_NAME + bare  # what the proof covers
    return server.get_server_first()


def _take_final(server: ScramServer, message: str) -> str:
    server.set_client_final(message)
    return server.get_server_final()


def _step(run) -> bytes:
    try:
        return run().encode()
    except (ScramException, UnicodeDecodeError, ValueError) as error:
        raise CodedError(ResultCode.AUTHENTICATION_FAILED) from error

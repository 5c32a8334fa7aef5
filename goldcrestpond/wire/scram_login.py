"""Authenticates a caller by SCRAM-SHA-256 (RFC 5802 and RFC 7677)."""

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

# The PostgreSQL protocol names the user in the startup packet, and drivers leave the
# name in the first SCRAM message empty; scramp rejects an empty name.
_EMPTY_USER_FIELD = "n=,"
_PLACEHOLDER_USER_FIELD = "n=caller,"


async def log_in_by_scram(stream: CallerStream, verifier: ScramVerifier) -> None:
    """Authenticate a caller by its password.

    Raises
    ------
    CallerGone
        If the connection to the caller is lost.
    CodedError
        AUTHENTICATION_FAILED if the password is wrong or a message is malformed.
    """
    server = ScramMechanism(MECHANISM).make_server(lambda _: _auth_info(verifier))
    await stream.send(AuthenticationSASL(mechanisms=[MECHANISM]).to_wire())
    first = _decode(SASLInitialResponse, await _read_password_frame(stream))
    if first.mechanism != MECHANISM:
        raise CodedError(
            ResultCode.AUTHENTICATION_FAILED, f"mechanism is not {MECHANISM}"
        )
    answer = _step(lambda: _answer_first(server, first.data.decode()))
    await stream.send(AuthenticationSASLContinue(data=answer).to_wire())
    final = _decode(SASLResponse, await _read_password_frame(stream))
    answer = _step(lambda: _answer_final(server, final.data.decode()))
    await stream.send(AuthenticationSASLFinal(data=answer).to_wire())


def _auth_info(verifier: ScramVerifier) -> tuple[bytes, bytes, bytes, int]:
    return (
        verifier.salt,
        verifier.stored_key,
        verifier.server_key,
        verifier.rounds,
    )


async def _read_password_frame(stream: CallerStream) -> Frame:
    frame = await stream.next_frame()
    if frame.kind != kinds.PASSWORD:
        raise CodedError(
            ResultCode.AUTHENTICATION_FAILED, "expected a SASL response message"
        )
    return frame


def _decode(message_type, frame: Frame):
    try:
        return message_type.decode(frame.body)
    except (PygwireError, ValueError, struct.error) as error:
        raise CodedError(
            ResultCode.AUTHENTICATION_FAILED, "unreadable SASL message"
        ) from error


def _answer_first(server: ScramServer, message: str) -> str:
    header, _, fields = message.partition(_EMPTY_USER_FIELD)
    if header.count(",") != 2 or not fields:
        server.set_client_first(message)
        return server.get_server_first()
    server.set_client_first(header + _PLACEHOLDER_USER_FIELD + fields)
    # The caller's proof covers the message as it was sent, with the empty name.
    server.client_first_bare = _EMPTY_USER_FIELD + fields
    return server.get_server_first()


def _answer_final(server: ScramServer, message: str) -> str:
    server.set_client_final(message)
    return server.get_server_final()


def _step(run) -> bytes:
    try:
        return run().encode()
    except (ScramException, UnicodeDecodeError, ValueError) as error:
        raise CodedError(ResultCode.AUTHENTICATION_FAILED) from error

"""Sends requests and answers that do not fit a datagram over TCP."""

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .codec import PeerMessage, decode_message, encode_message
from .message_authenticator import MessageAuthenticator

_LENGTH_BYTES = 4
MESSAGE_LIMIT_BYTES = 64 << 20
_TIMEOUT_S = 10.0


async def send_framed(
    stream: ByteStream, authenticator: MessageAuthenticator, message: PeerMessage
) -> None:
    """Send one message, preceded by its length."""
    data = authenticator.sign(encode_message(message))
    await stream.send(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


async def receive_framed(
    stream: ByteStream, authenticator: MessageAuthenticator
) -> PeerMessage:
    """Receive one message.

    Raises
    ------
    CodedError
        PEER_MALFORMED if the message is invalid or too long; PEER_UNREACHABLE if
        the connection ends early.
    """
    buffered = BufferedByteReceiveStream(stream)
    try:
        header = await buffered.receive_exactly(_LENGTH_BYTES)
        size_bytes = int.from_bytes(header, "big")
        if size_bytes > MESSAGE_LIMIT_BYTES:
            raise CodedError(
                ResultCode.PEER_MALFORMED, f"message of {size_bytes} bytes"
            )
        data = await buffered.receive_exactly(size_bytes)
    except (anyio.IncompleteRead, anyio.EndOfStream, OSError) as error:
        raise _unreachable(error) from error
    except anyio.BrokenResourceError as error:
        raise _unreachable(error) from error
    return decode_message(authenticator.verify(data), MESSAGE_LIMIT_BYTES)


async def request_over_stream(
    host: str, port: int, authenticator: MessageAuthenticator, request: PeerMessage
) -> PeerMessage:
    """Send a request and return its answer.

    Raises
    ------
    CodedError
        PEER_UNREACHABLE if no complete answer arrives in time; PEER_MALFORMED
        if the answer is invalid.
    """
    try:
        with anyio.fail_after(_TIMEOUT_S):
            async with await anyio.connect_tcp(host, port) as stream:
                await send_framed(stream, authenticator, request)
                return await receive_framed(stream, authenticator)
    except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
        raise _unreachable(error) from error


def _unreachable(error: Exception) -> CodedError:
    return CodedError(ResultCode.PEER_UNREACHABLE, type(error).__name__)

"""Asks for and answers updates that do not fit a datagram, over TCP."""

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .codec import PeerMessage, decode_message, encode_message
from .seal import Seal

_LENGTH_BYTES = 4
MESSAGE_LIMIT_BYTES = 64 << 20
_TIMEOUT_S = 10.0


async def send_framed(stream: ByteStream, seal: Seal, message: PeerMessage) -> None:
    """Send one message with its length."""
    data = seal.close(encode_message(message))
    await stream.send(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


async def receive_framed(stream: ByteStream, seal: Seal) -> PeerMessage:
    """Receive one message.

    Raises
    ------
    CodedError
        PEER_MALFORMED if it cannot be read; PEER_UNREACHABLE if it breaks off.
    """
    buffered = BufferedByteReceiveStream(stream)
    try:
        length = await buffered.receive_exactly(_LENGTH_BYTES)
        size_bytes = int.from_bytes(length, "big")
        if size_bytes > MESSAGE_LIMIT_BYTES:
            raise CodedError(ResultCode.PEER_MALFORMED, f"{size_bytes} bytes")
        data = await buffered.receive_exactly(size_bytes)
    except (anyio.IncompleteRead, anyio.EndOfStream, OSError) as error:
        raise _unreachable(error) from error
    except anyio.BrokenResourceError as error:
        raise _unreachable(error) from error
    return decode_message(seal.open(data), MESSAGE_LIMIT_BYTES)


async def ask_over_stream(
    host: str, port: int, seal: Seal, request: PeerMessage
) -> PeerMessage:
    """Send a request and return its answer.

    Raises
    ------
    CodedError
        PEER_UNREACHABLE if no whole answer comes in time; PEER_MALFORMED if
        it cannot be read.
    """
    try:
        with anyio.fail_after(_TIMEOUT_S):
            async with await anyio.connect_tcp(host, port) as stream:
                await send_framed(stream, seal, request)
                return await receive_framed(stream, seal)
    except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
        raise _unreachable(error) from error


def _unreachable(error: Exception) -> CodedError:
    return CodedError(ResultCode.PEER_UNREACHABLE, type(error).__name__)

"""Event: a datagram of the membership protocol was received."""

from dataclasses import dataclass

from .message import Message


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A received message and its source.

    Attributes
    ----------
    message : Message
        The decoded message.
    source : str
        ``IP:PORT`` of the sender's socket.
    """

    message: Message
    source: str

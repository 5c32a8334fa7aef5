"""Event: a message that spreads the configuration came in."""

from dataclasses import dataclass

from .message import Message


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message and where it came from.

    Attributes
    ----------
    message : Message
        The decoded message.
    source : str
        ``IP:PORT`` of the sender's socket.
    """

    message: Message
    source: str

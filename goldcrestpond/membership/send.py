"""Action: send a datagram."""

from dataclasses import dataclass

from .message import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` to ``address``.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the receiver.
    message : Message
        The message.
    """

    address: str
    message: Message

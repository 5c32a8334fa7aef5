"""One protocol message as sent on the wire."""

from typing import NamedTuple


class Frame(NamedTuple):
    """A complete message of the PostgreSQL protocol.

    Attributes
    ----------
    kind : int
        Type byte; ``kinds`` names those that the proxy reads.
    data : bytes
        All bytes of the message, including the type byte and the length field.
    """

    kind: int
    data: bytes

    @property
    def body(self) -> memoryview:
        """Payload without type byte and length."""
        return memoryview(self.data)[5:]

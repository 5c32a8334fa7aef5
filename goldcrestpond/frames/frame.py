"""One frame as it travels."""

from typing import NamedTuple


class Frame(NamedTuple):
    """A whole frame.

    Attributes
    ----------
    kind : int
        Type byte, one of ``kinds``.
    data : bytes
        The whole frame, header included.
    """

    kind: int
    data: bytes

    @property
    def body(self) -> memoryview:
        """Payload without type byte and length."""
        return memoryview(self.data)[5:]

"""Collects an answer instead of sending it to a caller."""


class CapturedAnswer:
    """Collects the bytes of an answer; used in place of a ``CallerStream``."""

    __slots__ = ("_parts",)

    def __init__(self):
        self._parts: list[bytes] = []

    @property
    def data(self) -> bytes:
        """All bytes collected so far."""
        return b"".join(self._parts)

    async def send(self, data: bytes) -> None:
        """Append bytes to the answer."""
        self._parts.append(data)

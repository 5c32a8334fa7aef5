"""Takes an answer in place of a caller."""


class CapturedAnswer:
    """Collects what would be sent to a caller."""

    __slots__ = ("_parts",)

    def __init__(self):
        self._parts: list[bytes] = []

    @property
    def data(self) -> bytes:
        """All that was sent."""
        return b"".join(self._parts)

    async def send(self, data: bytes) -> None:
        """Take bytes."""
        self._parts.append(data)

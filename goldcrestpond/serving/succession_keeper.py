"""Replaces leaders (shell); not built yet."""


class SuccessionKeeper:
    """Placeholder."""

    def __init__(self, *args):
        pass

    def note_failure(self, service, served, detail: str) -> None:
        """Take in a failure."""

    async def run(self) -> None:
        """Run."""

"""A wake-up call that many tasks may wait for."""

from datetime import timedelta

import anyio


class Wakeup:
    """Event that can be set again and again.

    Each ``set`` wakes the tasks that wait at that time.
    """

    __slots__ = ("_event",)

    def __init__(self):
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake all that wait."""
        event = self._event
        self._event = anyio.Event()
        event.set()

    async def wait(self, limit: timedelta) -> None:
        """Wait for the next call, at most for ``limit``."""
        with anyio.move_on_after(max(0.0, limit.total_seconds())):
            await self._event.wait()

"""An event that can be set repeatedly and wakes all waiting tasks."""

from datetime import timedelta

import anyio


class Wakeup:
    """An event that resets itself: ``set`` wakes the tasks that wait at that time."""

    __slots__ = ("_event",)

    def __init__(self):
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake all waiting tasks."""
        event = self._event
        self._event = anyio.Event()
        event.set()

    async def wait(self, max_wait: timedelta) -> None:
        """Wait until the next ``set``, at most for ``max_wait``."""
        with anyio.move_on_after(max(0.0, max_wait.total_seconds())):
            await self._event.wait()

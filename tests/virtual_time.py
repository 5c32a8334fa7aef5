"""An event loop whose time passes only while every task waits."""

import asyncio
import selectors
from datetime import timedelta

import anyio

from goldcrestpond.clock.manual_clock import ManualClock


class _Selector(selectors.DefaultSelector):
    """Passes the time of a wait at once."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        if timeout:
            self._loop.passed_s += timeout
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.passed_s = 0.0
        super().__init__(_Selector(self))

    def time(self):
        return self.passed_s


class LoopClock(ManualClock):
    """Clock of the virtual loop; starts at a time as on a machine up for weeks."""

    __slots__ = ()

    def now(self):
        return timedelta(days=40, seconds=anyio.current_time())


def run_in_virtual_time(body):
    """Run an asynchronous function without input or output; return its result."""
    return anyio.run(body, backend_options={"loop_factory": _Loop})

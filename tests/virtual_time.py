"""An event loop whose time passes only while every task waits."""

import asyncio
import contextvars
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


class Process:
    """A simulated process: while it is frozen, none of its tasks and timers runs.

    The tasks that are started where `PROCESS` is set to it belong to it.
    """

    def __init__(self):
        self.is_frozen = False
        self._deferred = []

    def defer(self, context, callback, args):
        self._deferred.append((context, callback, args))

    def thaw(self):
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for context, callback, args in deferred:
            asyncio.get_running_loop().call_soon(callback, *args, context=context)


PROCESS = contextvars.ContextVar("process", default=None)


def _run_unless_frozen(context, callback, args):
    process = PROCESS.get()
    if process is not None and process.is_frozen:
        process.defer(context, callback, args)
    else:
        callback(*args)


class _ProcessLoop(_Loop):
    def call_soon(self, callback, *args, context=None):
        # An empty context is false.
        context = contextvars.copy_context() if context is None else context
        gated = (context, callback, args)
        return super().call_soon(_run_unless_frozen, *gated, context=context)

    def call_at(self, when, callback, *args, context=None):
        # An empty context is false.
        context = contextvars.copy_context() if context is None else context
        gated = (context, callback, args)
        return super().call_at(when, _run_unless_frozen, *gated, context=context)


class LoopClock(ManualClock):
    """Clock of the virtual loop; starts at a time as on a machine up for weeks."""

    __slots__ = ()

    def now(self):
        return timedelta(days=40, seconds=anyio.current_time())


def run_in_virtual_time(body):
    """Run an asynchronous function without input or output; return its result."""
    return anyio.run(body, backend_options={"loop_factory": _Loop})


def run_processes_in_virtual_time(body):
    """As `run_in_virtual_time`, for a function that freezes a `Process`."""
    return anyio.run(body, backend_options={"loop_factory": _ProcessLoop})

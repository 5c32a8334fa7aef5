"""Tells whether a holder answers at all, by probes while it is silent."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock

# Several round trips between zones. A request may wait in a queue for longer, so that
# silence alone proves nothing.
PROBE_DELAY = timedelta(milliseconds=50)
# A machine that runs accepts a connection within a round trip, whatever its load: its
# kernel does.
PROBE_TIMEOUT = timedelta(milliseconds=150)
# The process on it answers within its own delays: with a tenth of a core, under load,
# these add up to hundreds of milliseconds. Half of a usual time limit of a statement is
# left for the next holder.
ANSWER_TIMEOUT = timedelta(milliseconds=400)
# A probe that ends later than this after its limit was not awaited for that long.
STALL_SPAN = timedelta(milliseconds=100)
# Shortest time between probes of a holder: each one opens a connection.
PROBE_INTERVAL = timedelta(milliseconds=500)
# An unanswered probe tells nothing about the time after this span, which is longer than
# the time between two probes.
EVIDENCE_SPAN = 2 * (PROBE_INTERVAL + ANSWER_TIMEOUT)
# Probes end if nobody asked about the holder for this time.
INTEREST_SPAN = timedelta(seconds=5)


class HolderWatch:
    """Whether one holder answers.

    Nothing is sent while it answers requests. If a request waits and nothing was heard
    for ``PROBE_DELAY``, the holder is probed, one probe at a time; if the probe is not
    answered, the requests that wait are cancelled. A busy holder is not a silent one:
    it accepts the connection of the probe, and has more time to answer.

    Parameters
    ----------
    probe : callable
        Sends a probe; returns whether it was answered. Returns within ``PROBE_TIMEOUT``
        if no connection can be opened, else within ``ANSWER_TIMEOUT``.
    clock : Clock
        Source of monotonic time.
    tasks : TaskGroup
        Runs the probes.

    Attributes
    ----------
    silent_since : timedelta or None
        When the first of the probes was sent that were not answered; None if the
        holder is believed to answer.
    on_change : callable
        Called with whether the holder is silent, when that has changed, and for how
        long it has been.
    """

    __slots__ = (
        "_clock",
        "_heard_at",
        "_interest_at",
        "_is_running",
        "_is_suspected",
        "_probe",
        "_probed_at",
        "_tasks",
        "_waiting",
        "on_change",
        "silent_since",
    )

    def __init__(
        self, probe: Callable[[], Awaitable[bool]], clock: Clock, tasks: TaskGroup
    ):
        self._probe = probe
        self._clock = clock
        self._tasks = tasks
        # Scopes of the requests that wait for a response, with the time of sending.
        self._waiting: dict[anyio.CancelScope, timedelta] = {}
        now = clock.now()
        self._heard_at = now
        self._probed_at = now - PROBE_INTERVAL
        self._interest_at = now
        self._is_suspected = False
        self._is_running = False
        self.silent_since: timedelta | None = None
        self.on_change: Callable[[bool, timedelta], None] = lambda is_silent, span: None

    def is_silent(self) -> bool:
        """Return whether the holder is believed not to answer; goes on probing it."""
        if self.silent_since is None:
            return False
        self._interest_at = self._clock.now()
        self._start()
        return True

    def silence(self) -> timedelta | None:
        """Return for how long it has answered no probe.

        None if it answers, or if it has not been probed of late: it may have answered
        since.
        """
        if self.silent_since is None:
            return None
        now = self._clock.now()
        return (
            None if now - self._probed_at > EVIDENCE_SPAN else now - self.silent_since
        )

    def suspect(self) -> None:
        """Probe the holder: a request failed, here or at another instance."""
        self._is_suspected = True
        self._interest_at = self._clock.now()
        self._start()

    def record_heard(self) -> None:
        """Record a response."""
        self._heard_at = self._clock.now()
        self._is_suspected = False
        if self.silent_since is not None:
            span = self._heard_at - self.silent_since
            self.silent_since = None
            self.on_change(False, span)

    def add_waiting(self, scope: anyio.CancelScope) -> None:
        """Watch a request, which is cancelled if the holder does not answer."""
        self._waiting[scope] = self._clock.now()
        self._start()

    def remove_waiting(self, scope: anyio.CancelScope) -> None:
        """End the watch of a request."""
        self._waiting.pop(scope, None)

    def _start(self) -> None:
        if not self._is_running:
            self._is_running = True
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        try:
            while (due_at := self._next_probe_at()) is not None:
                wait = due_at - self._clock.now()
                if wait > timedelta(0):
                    await anyio.sleep(wait.total_seconds())
                    continue
                await self._probe_once()
        finally:
            self._is_running = False

    def _next_probe_at(self) -> timedelta | None:
        """Return when to probe next; None if there is nothing to find out."""
        if self._is_suspected or self.silent_since is not None:
            is_of_interest = self._clock.now() - self._interest_at < INTEREST_SPAN
            if not (is_of_interest or self._waiting):
                return None
            return self._probed_at + PROBE_INTERVAL
        if not self._waiting:
            return None
        heard_at = max(min(self._waiting.values()), self._heard_at)
        return max(heard_at + PROBE_DELAY, self._probed_at + PROBE_INTERVAL)

    async def _probe_once(self) -> None:
        sent_at = self._clock.now()
        probed_at = self._probed_at
        is_continued = sent_at - probed_at <= EVIDENCE_SPAN
        self._probed_at = sent_at
        if await self._probe():
            self.record_heard()
            return
        if self._heard_at >= sent_at:
            return
        if self._clock.now() - sent_at > ANSWER_TIMEOUT + STALL_SPAN:
            # This process stood still: the answer may have come. The next probe is due.
            self._probed_at = probed_at
            return
        self._is_suspected = False
        if self.silent_since is None:
            self.silent_since = sent_at
            self.on_change(True, timedelta(0))
        elif not is_continued:
            self.silent_since = sent_at
        for scope, since in self._waiting.items():
            if since <= sent_at:
                scope.cancel()

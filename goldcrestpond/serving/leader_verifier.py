"""Proves which database leads, once for all reads that wait (shell)."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..term.verified_sample import VerifiedSample
from .link import Link
from .served_database import ServedDatabase
from .service import LEADER_RETRY_AFTER_MS, Service
from .serving_settings import ServingSettings

# Asks a holder: the leader and its position, proved after the question arrived.
AskHolder = Callable[[timedelta], Awaitable[tuple[str, LogPosition]]]
OpenLinkTo = Callable[[ServedDatabase], Awaitable[Link]]
# Of a statement's time, what it waits for a leader when none is known: the refusal
# must leave its caller time to come back.
LEADERLESS_WAIT_FRACTION = 0.5
DEMAND_LIFETIME = timedelta(seconds=2)  # after that, nobody cares for the leader
# A leader that answers only that it has no room for this long counts as silent.
OVERLOAD_TIMEOUT = timedelta(seconds=3)
# A database that is full may take a connection again any moment.
FULL_STATE_LIFETIME = timedelta(milliseconds=500)
_RETRY_PAUSE = timedelta(milliseconds=20)
_OVERLOADED = (ResultCode.ENDPOINT_FULL, ResultCode.ENDPOINT_BUSY)


class LeaderVerifier:
    """Asks the likely leader for a proof whenever somebody needs a sample.

    One connection to the last one asked is kept open.

    Parameters
    ----------
    service : Service
        The service.
    open_link : callable
        Opens a connection that is not pooled.
    settings : ServingSettings
        Time limits.
    clock : Clock
        Source of readings.
    tasks : TaskGroup
        Runs the asking.
    is_holder : callable
        Whether this instance holds connections to the service.
    ask_holder : callable
        Asks an instance that does.
    """

    __slots__ = (
        "_ask_holder",
        "_asked",
        "_clock",
        "_deadline",
        "_full_at",
        "_is_holder",
        "_is_running",
        "_link",
        "_needed_since",
        "_open_link",
        "_overloaded_at",
        "_service",
        "_settings",
        "_tasks",
        "_unmet_since",
    )

    def __init__(
        self,
        service: Service,
        open_link: OpenLinkTo,
        settings: ServingSettings,
        clock: Clock,
        tasks: TaskGroup,
        is_holder: Callable[[], bool],
        ask_holder: AskHolder,
    ):
        self._is_holder = is_holder
        self._ask_holder = ask_holder
        self._service = service
        self._open_link = open_link
        self._settings = settings
        self._clock = clock
        self._tasks = tasks
        self._link: Link | None = None
        self._asked: ServedDatabase | None = None
        self._is_running = False
        self._needed_since = timedelta.min
        self._deadline = timedelta.min
        self._unmet_since: timedelta | None = None
        self._overloaded_at: timedelta | None = None
        self._full_at: timedelta | None = None

    def unverified_for(self, now: timedelta) -> timedelta | None:
        """Return for how long no database has proved that it leads.

        None while proofs succeed, and once nobody has asked for a while.
        """
        if self._unmet_since is None or now - self._deadline > DEMAND_LIFETIME:
            return None
        return now - self._unmet_since

    def failing_for(self, now: timedelta) -> timedelta | None:
        """Return for how long the leader has failed, other than by overload.

        One that takes no more connections, or has no slot, is alive: replacing it
        helps only if that does not pass. None as for `unmet_for`.
        """
        unverified_for = self.unverified_for(now)
        if unverified_for is None or unverified_for >= OVERLOAD_TIMEOUT:
            return unverified_for
        if self._overloaded_at is None:
            return unverified_for
        return min(unverified_for, now - self._overloaded_at)

    def is_leader_full(self) -> bool:
        """Return whether the leader takes no connection of this instance."""
        if self._link is not None or self._full_at is None:
            return False
        return self._clock.now() - self._full_at < FULL_STATE_LIFETIME

    def check_now(self) -> None:
        """Find out whether the service has a leader now."""
        now = self._clock.now()
        self.request_sample(now, now + self._settings.leader_check_timeout)

    def leader_wait_deadline(self, deadline: timedelta) -> timedelta:
        """Return until when to wait for a leader, of a time that ends at a deadline.

        While none is known, half of the time is left for the caller to come back.
        """
        now = self._clock.now()
        if self.unverified_for(now) is None:
            return deadline
        return now + (deadline - now) * LEADERLESS_WAIT_FRACTION

    async def wait_for_sample(
        self, reading: timedelta, deadline: timedelta
    ) -> VerifiedSample:
        """Return a sample that was asked for at or after a reading.

        Raises
        ------
        CodedError
            NO_PRIMARY if no database proved in time that it leads.
        """
        while True:
            sample = self._service.leadership.newest_sample()
            if sample is not None and sample.sampled_after >= reading:
                return sample
            remaining = deadline - self._clock.now()
            if remaining <= timedelta(0):
                detail = f"{self._service.name}: no database proved that it leads"
                raise CodedError(ResultCode.NO_PRIMARY, detail, LEADER_RETRY_AFTER_MS)
            self.request_sample(reading, deadline)
            await self._service.wait_sample(remaining)

    async def wait_for_leader(
        self, reading: timedelta, deadline: timedelta
    ) -> ServedDatabase:
        """Return the database that proved after a reading that it leads.

        Raises
        ------
        CodedError
            NO_PRIMARY if none did so in time; nothing was sent.
        """
        while True:
            await self.wait_for_sample(reading, deadline)
            leader = self._service.leader()
            if leader is not None:
                return leader
            if self._clock.now() >= deadline:
                detail = f"{self._service.name}: the leader has left"
                raise CodedError(ResultCode.NO_PRIMARY, detail, LEADER_RETRY_AFTER_MS)
            await self._service.wait_change(_RETRY_PAUSE)

    def request_sample(self, reading: timedelta, deadline: timedelta) -> None:
        """Ask for a sample without waiting for it."""
        self._needed_since = max(self._needed_since, reading)
        self._deadline = max(self._deadline, deadline)
        if not self._is_running:
            self._is_running = True
            self._tasks.start_soon(self._run)

    def refresh_sample(self) -> None:
        """Take a sample soon if the newest one is older than the interval."""
        now = self._clock.now()
        newest = self._service.leadership.newest_sample()
        due = now - self._settings.sample_interval
        if newest is None or newest.sampled_after < due:
            self.request_sample(due, now + self._settings.leader_check_timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        link, self._link, self._asked = self._link, None, None
        if link is not None:
            await link.aclose()

    async def _run(self) -> None:
        try:
            while self._is_needed():
                if not await self._ask():
                    await self._service.wait_change(_RETRY_PAUSE)
        finally:
            self._is_running = False

    def _is_needed(self) -> bool:
        if self._clock.now() >= self._deadline:
            return False
        sample = self._service.leadership.newest_sample()
        return sample is None or sample.sampled_after < self._needed_since

    async def _ask(self) -> bool:
        """Ask once; return whether a database proved that it leads."""
        if not self._is_holder():
            return await self._ask_remotely()
        began_at = self._clock.now()
        served = self._service.likely_leader()
        if self._unmet_since is None:
            self._unmet_since = began_at  # until a proof arrives
        if served is None:
            return False
        try:
            with anyio.fail_after(self._settings.leader_check_timeout.total_seconds()):
                link = await self._link_to(served)
                asked_at = self._clock.now()
                reply = await link.verify_leader()
        except (CodedError, TimeoutError) as error:
            await self.aclose()
            code = getattr(error, "code", None)
            self._failed(served, code, str(error))
            if code is ResultCode.ENDPOINT_FULL:
                # Connections of the dead count for seconds; another holder has one.
                self._full_at = self._clock.now()
                return await self._ask_remotely()
            self._service.mark_leader_unconfirmed(served)
            return False
        if reply.error is ResultCode.PRIMARY_REPLACED:
            self._service.record_leader_refusal(served)
            return False
        if reply.error is not None or reply.position is None:
            self._failed(served, reply.error, reply.detail)
            return False
        self._unmet_since = None
        self._overloaded_at = None
        self._service.record_leader_verified(served, reply.position, asked_at)
        self._service.notify_sample()
        return True

    async def _ask_remotely(self) -> bool:
        if self._link is not None:
            await self.aclose()
        asked_at = self._clock.now()
        try:
            answer = await self._ask_holder(self._settings.leader_check_timeout)
        except CodedError as error:
            if self._unmet_since is None:
                self._unmet_since = asked_at
            self._service.log.decision(
                "proof failed", service=self._service.name, detail=str(error)
            )
            return False
        database_id, position = answer
        served = self._service.databases.get(database_id)
        if served is None:
            return False
        self._unmet_since = None
        self._service.record_leader_verified(served, position, asked_at)
        self._service.notify_sample()
        return True

    def _failed(
        self, served: ServedDatabase, code: ResultCode | None, detail: str
    ) -> None:
        now = self._clock.now()
        served.health.record_failure(now)
        if code in _OVERLOADED:
            self._overloaded_at = now
        self._service.log.decision(
            "proof failed",
            service=self._service.name,
            database=served.database_id,
            detail=detail or "no answer",
        )

    async def _link_to(self, served: ServedDatabase) -> Link:
        if self._link is not None and self._asked is served:
            if self._link.is_quiet():
                return self._link
        await self.aclose()
        self._link = await self._open_link(served)
        self._asked = served
        return self._link

"""Verifies which database leads, once for all requests that wait for it."""

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

# Asks another holder to verify the leader; returns its id and log position.
AskHolder = Callable[[timedelta], Awaitable[tuple[str, LogPosition]]]
OpenLinkTo = Callable[[ServedDatabase], Awaitable[Link]]
# Fraction of a statement's remaining time that it waits for a leader while none is
# known; the rest is left for the caller to retry.
LEADERLESS_WAIT_FRACTION = 0.5
# Failures no longer count this long after the deadline of the last request.
DEMAND_LIFETIME = timedelta(seconds=2)
# A leader that has only reported overload for this long counts as failing.
OVERLOAD_TIMEOUT = timedelta(seconds=3)
# After refusing a connection the leader counts as full for this long; it may accept
# connections again at any moment.
FULL_STATE_LIFETIME = timedelta(milliseconds=500)
_RETRY_PAUSE = timedelta(milliseconds=20)
_OVERLOADED = (ResultCode.ENDPOINT_FULL, ResultCode.ENDPOINT_BUSY)


class LeaderVerifier:
    """Verifies the likely leader whenever a sample of its position is needed.

    The connection to the last database checked is kept open.

    Parameters
    ----------
    service : Service
        The service.
    open_link : callable
        Opens a connection outside the pool.
    settings : ServingSettings
        Time limits.
    clock : Clock
        Source of the time.
    tasks : TaskGroup
        Runs the checks.
    is_holder : callable
        Returns whether this instance holds connections to the service.
    ask_holder : callable
        Asks another instance, which does, to verify the leader.
    """

    __slots__ = (
        "_ask_holder",
        "_clock",
        "_deadline",
        "_full_at",
        "_is_holder",
        "_is_running",
        "_link",
        "_link_database",
        "_needed_since",
        "_open_link",
        "_overloaded_at",
        "_service",
        "_settings",
        "_tasks",
        "_unverified_since",
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
        self._link_database: ServedDatabase | None = None
        self._is_running = False
        self._needed_since = timedelta.min
        self._deadline = timedelta.min
        self._unverified_since: timedelta | None = None
        self._overloaded_at: timedelta | None = None
        self._full_at: timedelta | None = None

    def unverified_for(self, now: timedelta) -> timedelta | None:
        """Return for how long no database could be verified as the leader.

        None while checks succeed, and ``DEMAND_LIFETIME`` after the last request.
        """
        if self._unverified_since is None or now - self._deadline > DEMAND_LIFETIME:
            return None
        return now - self._unverified_since

    def failing_for(self, now: timedelta) -> timedelta | None:
        """Return for how long the leader has failed, not counting overload.

        A leader that refuses connections, or has no free slot, is running: it is
        worth replacing only if this lasts for ``OVERLOAD_TIMEOUT``. None as for
        `unverified_for`.
        """
        unverified_for = self.unverified_for(now)
        if unverified_for is None or unverified_for >= OVERLOAD_TIMEOUT:
            return unverified_for
        if self._overloaded_at is None:
            return unverified_for
        return min(unverified_for, now - self._overloaded_at)

    def is_leader_full(self) -> bool:
        """Return whether the leader refuses connections of this instance as full."""
        if self._link is not None or self._full_at is None:
            return False
        return self._clock.now() - self._full_at < FULL_STATE_LIFETIME

    def check_now(self) -> None:
        """Start to verify the leader now."""
        now = self._clock.now()
        self.request_sample(now, now + self._settings.leader_check_timeout)

    def leader_wait_deadline(self, deadline: timedelta) -> timedelta:
        """Return until when a statement with a deadline waits for a leader.

        While none is known, or the known one is leaving and gets no more work, half of
        the remaining time is left for the caller to retry.
        """
        now = self._clock.now()
        is_verified = self.unverified_for(now) is None
        if is_verified and not self._service.is_leader_past_drain():
            return deadline
        return now + (deadline - now) * LEADERLESS_WAIT_FRACTION

    async def wait_for_sample(
        self, since: timedelta, deadline: timedelta
    ) -> VerifiedSample:
        """Wait for a sample that was requested at or after ``since`` and return it.

        Raises
        ------
        CodedError
            NO_PRIMARY if no leader could be verified before the deadline.
        """
        while True:
            sample = self._service.leadership.newest_sample()
            if sample is not None and sample.sampled_after >= since:
                return sample
            remaining = deadline - self._clock.now()
            if remaining <= timedelta(0):
                detail = f"{self._service.name}: no leader could be verified"
                raise CodedError(ResultCode.NO_PRIMARY, detail, LEADER_RETRY_AFTER_MS)
            self.request_sample(since, deadline)
            await self._service.wait_sample(remaining)

    async def wait_for_leader(
        self, since: timedelta, deadline: timedelta
    ) -> ServedDatabase:
        """Wait for a leader that was verified at or after ``since`` and return it.

        Raises
        ------
        CodedError
            NO_PRIMARY if there is none before the deadline; nothing was sent.
        """
        while True:
            await self.wait_for_sample(since, deadline)
            leader = self._service.leader()
            if leader is not None:
                return leader
            if self._clock.now() >= deadline:
                detail = f"{self._service.name}: the leader is leaving"
                raise CodedError(ResultCode.NO_PRIMARY, detail, LEADER_RETRY_AFTER_MS)
            await self._service.wait_change(_RETRY_PAUSE)

    def request_sample(self, since: timedelta, deadline: timedelta) -> None:
        """Request a sample of ``since`` or later without waiting for it."""
        self._needed_since = max(self._needed_since, since)
        self._deadline = max(self._deadline, deadline)
        if not self._is_running:
            self._is_running = True
            self._tasks.start_soon(self._run)

    def refresh_sample(self) -> None:
        """Request a sample if the newest one is older than ``sample_interval``."""
        now = self._clock.now()
        newest = self._service.leadership.newest_sample()
        due = now - self._settings.sample_interval
        if newest is None or newest.sampled_after < due:
            self.request_sample(due, now + self._settings.leader_check_timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        link, self._link, self._link_database = self._link, None, None
        if link is not None:
            await link.aclose()

    async def _run(self) -> None:
        try:
            while self._is_needed():
                if not await self._verify():
                    await self._service.wait_change(_RETRY_PAUSE)
        finally:
            self._is_running = False

    def _is_needed(self) -> bool:
        if self._clock.now() >= self._deadline:
            return False
        sample = self._service.leadership.newest_sample()
        return sample is None or sample.sampled_after < self._needed_since

    async def _verify(self) -> bool:
        """Check the likely leader once; return whether it was verified."""
        if not self._is_holder():
            return await self._verify_through_holder()
        began_at = self._clock.now()
        served = self._service.likely_leader()
        if self._unverified_since is None:
            self._unverified_since = began_at  # reset when the check succeeds
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
            self._record_failure(served, code, str(error))
            if code is ResultCode.ENDPOINT_FULL:
                # A database counts the connections of crashed instances for seconds;
                # another holder may still have an open one.
                self._full_at = self._clock.now()
                return await self._verify_through_holder()
            self._service.mark_leader_unconfirmed(served)
            return False
        if reply.error is ResultCode.PRIMARY_REPLACED:
            self._service.record_leader_refusal(served)
            return False
        if reply.error is not None or reply.position is None:
            self._record_failure(served, reply.error, reply.detail)
            return False
        self._unverified_since = None
        self._overloaded_at = None
        self._service.record_leader_verified(served, reply.position, asked_at)
        self._service.notify_sample()
        return True

    async def _verify_through_holder(self) -> bool:
        if self._link is not None:
            await self.aclose()
        asked_at = self._clock.now()
        try:
            verified = await self._ask_holder(self._settings.leader_check_timeout)
        except CodedError as error:
            if self._unverified_since is None:
                self._unverified_since = asked_at
            self._service.log.decision(
                "proof failed", service=self._service.name, detail=str(error)
            )
            return False
        database_id, position = verified
        served = self._service.databases.get(database_id)
        if served is None:
            return False
        self._unverified_since = None
        self._service.record_leader_verified(served, position, asked_at)
        self._service.notify_sample()
        return True

    def _record_failure(
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
        if self._link is not None and self._link_database is served:
            if self._link.is_quiet():
                return self._link
        await self.aclose()
        self._link = await self._open_link(served)
        self._link_database = served
        return self._link

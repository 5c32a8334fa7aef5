"""Watches the leaders of all services and replaces those that fail (shell)."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .database import Database
from .decision_log import DecisionLog
from .directory import Directory
from .failover import Failover
from .failover_attempt import FailoverAttempt, Participants, PreviousLeader
from .failover_claim import ClaimWriter
from .failover_delay import failover_delay
from .link import Link
from .row_store import RowPut, RowStore, StoredRow
from .service import Service
from .store_era import StoreEra
from .suspicions import (
    RENEWAL_INTERVAL,
    TABLE,
    SuspicionBody,
    Suspicions,
    quorum,
    suspicion_key,
)
from .table_feed import TableFeed

CHECK_INTERVAL_S = 0.05
# One proof that is not answered, and a second one over a new connection.
SUSPECT_AFTER = timedelta(milliseconds=400)
RETRY_PAUSE = timedelta(milliseconds=500)
# How often one that suspects a leader reads who else does.
SUSPICION_READ_INTERVAL = timedelta(milliseconds=200)
# A lapsed entry may come back within about 2 s.
UNLISTED_LEADER_WAIT = timedelta(milliseconds=2200)
# While an acknowledged commit might be lost, the former leader or whoever else holds it
# is waited for; databases that crash are back sooner, others are lost for good.
LOSSLESS_FAILOVER_WAIT = timedelta(seconds=30)
TAKEOVER_TIMEOUT = timedelta(milliseconds=3500)
TAKEOVER_POLL_INTERVAL = timedelta(milliseconds=50)
FEED_SPACING = timedelta(milliseconds=50)
# Whoever suspects a leader reads by itself; the feed only wakes those without work.
FEED_WAIT = timedelta(seconds=12)

OpenLink = Callable[[Database], Awaitable[Link]]


class LeaderMonitor:
    """One loop over all services.

    Parameters
    ----------
    instance : str
        Name of this instance.
    directory : Directory
        The services.
    store : RowStore
        Holds claims and suspicions.
    era : StoreEra
        Era of the store; suspicions are written anew in each.
    failover : Failover or None
        Orders promotions; without one, leaders are not replaced.
    open_link : callable
        Opens a connection.
    clock : Clock
        Source of readings.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Sink of decisions.
    tasks : TaskGroup
        Runs successions.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_directory",
        "_due",
        "_era",
        "_failover",
        "_feed",
        "_instance",
        "_log",
        "_looked_at",
        "_looking",
        "_open_link",
        "_running",
        "_store",
        "_suspicions",
        "_tasks",
        "_unproven",
        "_written",
        "_written_in",
    )

    def __init__(
        self,
        instance: str,
        directory: Directory,
        store: RowStore,
        era: StoreEra,
        failover: Failover | None,
        open_link: OpenLink,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        tasks: TaskGroup,
    ):
        self._instance = instance
        self._directory = directory
        self._store = store
        self._era = era
        self._failover = failover
        self._open_link = open_link
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._claims = ClaimWriter(instance, store, era, clock)
        self._suspicions = Suspicions()
        self._written: dict[str, timedelta] = {}
        self._written_in = 0
        self._due: dict[str, timedelta] = {}
        self._running: set[str] = set()
        # Epoch of the leadership, and since when its successor lacks a proof.
        self._unproven: dict[str, tuple[int, timedelta]] = {}
        self._looking = False
        self._looked_at: timedelta | None = None
        self._feed = TableFeed(
            store,
            TABLE,
            lambda: FEED_SPACING,
            FEED_WAIT,
            self._replace,
            self._update,
            clock,
            rng,
            log,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        if self._failover is None:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._feed.run)
            while True:
                self._enter_era()
                for service in list(self._directory.services.values()):
                    self._watch(service)
                await anyio.sleep(CHECK_INTERVAL_S)

    def _enter_era(self) -> None:
        if self._written_in != self._era.current:
            self._written_in = self._era.current
            self._written.clear()

    def _watch(self, service: Service) -> None:
        now = self._clock.now()
        if service.name in self._running or not service.databases:
            return
        if not self._directory.holds(service.name):
            return
        is_planned = self._is_leader_leaving(service, now)
        is_suspect = self._is_suspect(service, now)
        self._tell(service, is_suspect, now)
        if not is_planned:
            suspects = self._suspicions.suspecting_instances(service.name, now)
            if suspects and not is_suspect:
                self._directory.leader_verifier(service.name).check_now()
            agreed = len(suspects) >= quorum(self._directory.holder_count(service.name))
            if not (is_suspect and agreed):
                self._due.pop(service.name, None)
                return
        due = self._due.setdefault(service.name, now + self._turn_pause(service))
        if now >= due:
            self._due[service.name] = now + RETRY_PAUSE
            self._running.add(service.name)
            self._tasks.start_soon(self._replace_leader, service, is_planned)

    def _is_suspect(self, service: Service, now: timedelta) -> bool:
        failing_for = self._directory.leader_verifier(service.name).failing_for(now)
        return failing_for is not None and failing_for >= SUSPECT_AFTER

    def _is_leader_leaving(self, service: Service, now: timedelta) -> bool:
        leader_id = service.leadership.leader_id
        registry = self._directory.registry
        database = registry.get(leader_id)
        if database is None:
            return False
        if database.is_draining:
            return True
        since = registry.leaving_since(leader_id)
        return since is not None and now - since >= UNLISTED_LEADER_WAIT

    def _turn_pause(self, service: Service) -> timedelta:
        holders = self._directory.holder_names(service.name)
        return failover_delay(service.name, self._instance, holders)

    def _tell(self, service: Service, is_suspect: bool, now: timedelta) -> None:
        """Write, renew or withdraw this instance's suspicion."""
        written_at = self._written.get(service.name)
        if is_suspect:
            if written_at is None:
                self._log.decision("leader suspected", service=service.name)
            if written_at is None or now - written_at >= RENEWAL_INTERVAL:
                self._written[service.name] = now
                self._tasks.start_soon(self._write_suspicion, service.name)
            self._look_around()
        elif written_at is not None:
            del self._written[service.name]
            self._tasks.start_soon(self._withdraw_suspicion, service.name)

    async def _write_suspicion(self, service: str) -> None:
        key = suspicion_key(service, self._instance)
        value = msgspec.json.encode(SuspicionBody(self._era.current))
        await self._store_suspicion(service, [RowPut(TABLE, "", key, value)], [])

    async def _withdraw_suspicion(self, service: str) -> None:
        key = suspicion_key(service, self._instance)
        await self._store_suspicion(service, [], [StoredRow(TABLE, "", key, None, 0)])

    async def _store_suspicion(
        self, service: str, puts: list[RowPut], removals: list[StoredRow]
    ) -> None:
        try:
            await self._store.write([], puts, removals)
        except CodedError as error:
            # It lapses, or is renewed with the next one.
            self._log.decision(
                "suspicion not written", service=service, detail=error.detail
            )

    def _look_around(self) -> None:
        """Read the suspicions of others.

        A feed that waits on a store which was away hears of its return too late.
        """
        now = self._clock.now()
        looked_at = self._looked_at
        if self._looking:
            return
        if looked_at is not None and now - looked_at < SUSPICION_READ_INTERVAL:
            return
        self._looking = True
        self._looked_at = now
        self._tasks.start_soon(self._read_suspicions)

    async def _read_suspicions(self) -> None:
        try:
            answer = await self._store.read(TABLE)
        except CodedError as error:
            self._log.decision("suspicions not read", detail=error.detail)
        else:
            self._suspicions.replace(answer.rows, self._clock.now(), answer.era)
        finally:
            self._looking = False

    async def _replace_leader(self, service: Service, is_planned: bool) -> None:
        databases = [served.database for served in service.databases.values()]
        participants = Participants(
            databases, service.recently_unlisted(), service.leaving_since()
        )
        leader_id = service.leadership.presumed_leader_id(databases)
        try:
            claim = await self._claims.claim(service.name, leader_id)
            if claim is None:
                return
            run = FailoverAttempt(
                claim,
                participants,
                PreviousLeader(leader_id, service.leadership.newest_term(), is_planned),
                self._is_patience_over(service),
                self._failover,
                self._directory,
                self._open_link,
                self._clock,
                self._era,
                self._log,
            )
            if await run.run():
                await self._wait_taken_over(service, leader_id)
                await run.resume_receiving()
            elif run.may_lose_commits:
                lacking = (service.leadership.epoch, self._clock.now())
                self._unproven.setdefault(service.name, lacking)
        except CodedError as error:
            self._log.decision(
                "succession failed", service=service.name, detail=error.detail
            )
        finally:
            self._running.discard(service.name)

    def _is_patience_over(self, service: Service) -> bool:
        epoch, since = self._unproven.get(service.name, (0, self._clock.now()))
        if epoch != service.leadership.epoch:
            self._unproven.pop(service.name, None)
            return False
        return self._clock.now() - since >= LOSSLESS_FAILOVER_WAIT

    async def _wait_taken_over(self, service: Service, former: str) -> None:
        began_at = self._clock.now()
        leader_verifier = self._directory.leader_verifier(service.name)
        while self._clock.now() - began_at < TAKEOVER_TIMEOUT:
            leader_id = service.leadership.leader_id
            if leader_id and leader_id != former:
                return
            leader_verifier.check_now()
            await service.wait_change(TAKEOVER_POLL_INTERVAL)

    def _replace(self, rows) -> None:
        self._suspicions.replace(rows, self._clock.now(), self._era.current)

    def _update(self, rows) -> None:
        self._suspicions.update(rows, self._clock.now(), self._era.current)

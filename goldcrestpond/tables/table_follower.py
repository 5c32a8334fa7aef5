"""Keeps the copies of the store's tables fresh, by another instance or by the store."""

import random
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..relay import messages
from ..serving.decision_log import DecisionLog
from ..serving.follower_list import FollowerList
from ..serving.members import Member
from ..serving.metrics import Metrics
from ..serving.store_era import StoreEra
from ..serving.table_feed import TableFeed
from ..tasks.supervised_tasks import SupervisedTasks
from .reader_plan import ReaderPlan, make_reader_plan
from .table_server import to_peer, to_rows
from .table_times import TableTimes

# At its start an instance asks others for this long before it reads the store, and is
# not ready before: they may know a newer configuration than a store that was restored.
START_ASK_S = 0.15
# Instances that find no others at their start begin to read spread over this time.
FIRST_START_SPREAD_S = 0.4
START_RETRY_S = 0.2  # a reachable store answers within milliseconds
# A source that reaches no reader is passed over for this time: it may soon read itself.
NO_READER_AVOIDANCE = timedelta(milliseconds=200)
# A source that does not answer is passed over for this time, which doubles with each
# further failure.
AVOIDANCE_FIRST = timedelta(milliseconds=400)
AVOIDANCE_MAX = timedelta(seconds=4)
# The second of the readers takes over at once, each further one this much later.
TAKEOVER_STEP = timedelta(milliseconds=300)
RETRY_PAUSE_S = 0.15  # before the sources are tried again
# An instance that reads the store for lack of a source tries the sources this often.
RETURN_PAUSE_S = 1.0
# The list of an instance's own followers is sent again after this time even if it has
# not changed, since its source may have restarted.
REPORT_INTERVAL = timedelta(seconds=4)
# A busy instance answers later than after the wait for a change.
ANSWER_SLACK = timedelta(milliseconds=250)
LEAVE_TIMEOUT_S = 0.3
_MILLISECOND = timedelta(milliseconds=1)
Ask = Callable[[Member, messages.Follow, timedelta], Awaitable[messages.Followed]]


class TableFollower:
    """Chooses whom to follow, asks for changes, and reads the store if nobody serves.

    Parameters
    ----------
    member : callable
        Returns this instance.
    get_members : callable
        Returns the live members.
    feeds : sequence of TableFeed
        Read the tables from the store.
    age_limits : dict of str to timedelta
        Tables whose age is limited, and the age at which this instance reads the store.
    configuration_table : str
        Name of the table by whose age a reader notices that the store is silent.
    member_table : str
        Name of the table that is read first: it tells whom to ask for the others.
    ask : callable
        Sends a request to another instance and returns its response within a limit, or
        raises ``CodedError``.
    followers : FollowerList
        Instances that follow this one.
    era : StoreEra
        Era of the store.
    times : TableTimes
        Time limits.
    clock : Clock
        Source of the time.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Receives log events.
    metrics : Metrics
        Counts changes of the source.
    tasks : SupervisedTasks
        Runs the feeds.

    Attributes
    ----------
    is_reading : bool
        Whether this instance reads the store.
    is_started : bool
        Whether others were asked, for a limited time, since the start.
    on_reader_change : callable
        Called when `reader` may have changed.
    """

    __slots__ = (
        "_age_limits",
        "_ask",
        "_avoided",
        "_clock",
        "_configuration_table",
        "_era",
        "_feeds",
        "_followed",
        "_followed_reader",
        "_followers",
        "_is_leaving",
        "_get_members",
        "_log",
        "_lost_since",
        "_member",
        "_member_table",
        "_metrics",
        "_plan",
        "_plan_members",
        "_report_due_at",
        "_reported",
        "_rng",
        "_scope",
        "_tasks",
        "_times",
        "_wake",
        "is_started",
        "on_reader_change",
    )

    def __init__(
        self,
        member: Callable[[], Member],
        get_members: Callable[[], list[Member]],
        feeds: Sequence[TableFeed],
        age_limits: dict[str, timedelta],
        configuration_table: str,
        member_table: str,
        ask: Ask,
        followers: FollowerList,
        era: StoreEra,
        times: TableTimes,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
        tasks: SupervisedTasks,
    ):
        self._member = member
        self._get_members = get_members
        self._feeds = {feed.copy.table: feed for feed in feeds}
        self._age_limits = age_limits
        self._configuration_table = configuration_table
        self._member_table = member_table
        self._ask = ask
        self._followers = followers
        self._era = era
        self._times = times
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._tasks = tasks
        self._avoided: dict[str, tuple[timedelta, int]] = {}
        self._followed = ""  # name of the source that last answered well
        self._followed_reader = ""
        self._lost_since: timedelta | None = None
        self._plan: ReaderPlan | None = None
        self._plan_members: list[Member] = []
        self._reported: list[messages.Peer] = []
        self._report_due_at = timedelta.min
        self._is_leaving = False
        self._scope: anyio.CancelScope | None = None
        self._wake = anyio.Event()
        self.is_started = False
        self.on_reader_change: Callable[[], None] = lambda: None
        for feed in feeds:
            feed.on_reachable = self._handle_reachable

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store."""
        return self._scope is not None

    @property
    def lists_followers(self) -> bool:
        """Whether this instance is one of the readers, which list their followers.

        Others that read the store for a while are asked by many that look for a source;
        if each listed these, the members would take hundreds of long rows.
        """
        return self._current_plan().rank is not None

    @property
    def reader(self) -> str:
        """Name of the instance that reads the store for this one; empty if none.

        Also empty while this instance leaves, so that its followers turn to others.
        """
        if self._is_leaving:
            return ""
        if self.is_reading and self._is_store_reachable():
            return self._member().name
        return self._followed_reader

    def age(self) -> timedelta | None:
        """Return the age of the configuration; None if it is not known."""
        return self._feeds[self._configuration_table].copy.age(self._clock.now())

    def set_times(self, times: TableTimes, age_limits: dict[str, timedelta]) -> None:
        """Replace the time limits and the limits of the tables' ages."""
        self._times = times
        self._age_limits = age_limits

    async def run(self) -> None:
        """Keep the tables fresh until cancelled."""
        await self._start()
        while True:
            await self._step()

    async def leave(self) -> None:
        """Tell the source and the followers that this instance leaves the fleet."""
        self._is_leaving = True
        self.on_reader_change()
        source = next(
            (m for m in self._get_members() if m.name == self._followed), None
        )
        if source is None:
            return
        request = messages.Follow(to_peer(self._member()), None, [], 0.0, True)
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self._ask(source, request, ANSWER_SLACK)
            except CodedError as error:
                # It counts as gone once it has not asked for some seconds.
                self._log.decision("leave not reported", detail=error.detail)

    def notify_members(self) -> None:
        """Choose anew whom to follow: the members have changed."""
        self._wake.set()
        self._wake = anyio.Event()

    async def _start(self) -> None:
        await self._read_members()
        if len(self._get_members()) == 1:
            # All instances start at once: the first ones serve the others.
            await anyio.sleep(FIRST_START_SPREAD_S * self._rng.random())
            await self._read_members()
        is_served = False
        with anyio.move_on_after(START_ASK_S):
            is_served = await self._follow_any(self._current_plan())
        if not is_served:
            self._start_reading("start")
        self.is_started = True

    async def _read_members(self) -> None:
        while not await self._feeds[self._member_table].read_once():
            await anyio.sleep(START_RETRY_S * self._rng.uniform(0.5, 1))

    async def _step(self) -> None:
        plan = self._current_plan()
        if plan.rank == 0 and not self.is_reading:
            self._start_reading("first reader")
        if plan.rank == 0 and self._is_store_reachable():
            self._lost_since = None
            await self._pause(RETURN_PAUSE_S)
            return
        if await self._follow_any(plan):
            if plan.rank != 0:
                self._stop_reading()
            return
        if not self.is_reading and self._must_read(plan):
            self._start_reading("no source")
        is_served = self.is_reading and self._is_store_reachable()
        await self._pause(RETURN_PAUSE_S if is_served else RETRY_PAUSE_S)

    def _current_plan(self) -> ReaderPlan:
        members = self._get_members()
        if self._plan is None or members != self._plan_members:
            self._plan = make_reader_plan(self._member().name, members)
            self._plan_members = members
        return self._plan

    def _is_store_reachable(self) -> bool:
        age = self.age()
        if age is None or age >= self._times.late_age:
            return False
        return all(self._feeds[table].is_reachable for table in self._age_limits)

    def _is_fresh(self) -> bool:
        """Return whether each table whose age is limited is younger than that."""
        now = self._clock.now()
        for table, limit in self._age_limits.items():
            age = self._feeds[table].copy.age(now)
            if age is None or age >= limit:
                return False
        return True

    def _must_read(self, plan: ReaderPlan) -> bool:
        """Return whether to read the store now that no source serves.

        Readers take over one after the other; all others wait until their tables are
        too old, so that the loss of a reader brings no herd.
        """
        if not self._is_fresh():
            return True
        if plan.rank is None or self._lost_since is None:
            return False
        lost_for = self._clock.now() - self._lost_since
        return lost_for >= TAKEOVER_STEP * (plan.rank - 1)

    async def _follow_any(self, plan: ReaderPlan) -> bool:
        """Ask the sources in order; return whether one served."""
        for member in self._sources_to_try(plan):
            if await self._follow(member):
                self._lost_since = None
                return True
            if self._times.is_proof_limited and not self._is_fresh():
                break  # several more may be silent, and the store is read next
        if self._followed_reader:
            self._followed, self._followed_reader = "", ""
            self.on_reader_change()
        if self._lost_since is None:
            self._lost_since = self._clock.now()
        return False

    def _sources_to_try(self, plan: ReaderPlan) -> list[Member]:
        now = self._clock.now()
        sources = [m for m in plan.sources if not self._is_avoided(m, now)]
        others = [m for m in plan.others if not self._is_avoided(m, now)]
        # Any other instance may reach the store while the readers don't.
        is_lost = self._lost_since is not None or plan.rank == 0
        if others and is_lost and not (self.is_reading and self._is_store_reachable()):
            sources.append(self._rng.choice(others))
        return sources

    def _is_avoided(self, member: Member, now: timedelta) -> bool:
        until, _ = self._avoided.get(member.name, (timedelta.min, 0))
        return now < until

    def _avoid_unreachable(self, member: Member) -> None:
        _, count = self._avoided.get(member.name, (timedelta.min, 0))
        pause = min(AVOIDANCE_MAX, AVOIDANCE_FIRST * 2 ** min(count, 10))
        self._avoided[member.name] = (self._clock.now() + pause, count + 1)

    async def _follow(self, source: Member) -> bool:
        """Ask one source for changes; return whether it serves this instance."""
        is_same = source.name == self._followed
        wait = self._times.follow_wait if is_same else timedelta(0)
        sent_at = self._clock.now()
        try:
            request = self._make_request(wait, is_same)
            answer = await self._ask(source, request, wait + ANSWER_SLACK)
        except CodedError as error:
            self._avoid_unreachable(source)
            if is_same:
                self._log.decision("source lost", source=source.name, detail=str(error))
            return False
        is_fresh = self._apply(answer, sent_at)
        if not is_fresh or answer.reader in ("", self._member().name):
            until = self._clock.now() + NO_READER_AVOIDANCE
            self._avoided[source.name] = (until, 0)
            return False
        self._avoided.pop(source.name, None)
        self._record_source(source.name, answer.reader)
        return True

    def _record_source(self, source: str, reader: str) -> None:
        if (source, reader) == (self._followed, self._followed_reader):
            return
        self._log.decision(
            "tables followed",
            source=source,
            reader=reader,
            former=self._followed,
            age_ms=_to_ms(self.age()),
        )
        self._metrics.count("table_sources_total", reason="followed")
        self._followed, self._followed_reader = source, reader
        self.on_reader_change()

    def _make_request(self, wait: timedelta, is_same: bool) -> messages.Follow:
        now = self._clock.now()
        followers = [to_peer(member) for member in self._followers.live(now)]
        reported: list[messages.Peer] | None = None
        is_due = now >= self._report_due_at
        if not is_same or is_due or followers != self._reported:
            self._reported, self._report_due_at = followers, now + REPORT_INTERVAL
            reported = followers
        tables = [
            messages.KnownTable(feed.copy.table, feed.copy.era, feed.copy.version)
            for feed in self._feeds.values()
        ]
        peer = to_peer(self._member())
        wait_ms = wait / _MILLISECOND
        return messages.Follow(peer, reported, tables, wait_ms, self._is_leaving)

    def _apply(self, answer: messages.Followed, sent_at: timedelta) -> bool:
        """Apply the rows; return whether all limited tables are fresh now."""
        # The request arrived after it was sent, so the answer is at least this late.
        answered_at = sent_at + min(
            answer.held_ms * _MILLISECOND, self._clock.now() - sent_at
        )
        for changed in answer.tables:
            feed = self._feeds.get(changed.table)
            if feed is None:
                continue
            rows = to_rows(changed)
            if not self._era.accept_era(changed.era):
                feed.copy.offer(rows)
                continue
            apply = feed.copy.replace if changed.is_whole else feed.copy.update
            if apply(rows, changed.era, changed.version):
                feed.copy.confirm(answered_at - changed.age_ms * _MILLISECOND)
        answered = {changed.table for changed in answer.tables}
        return answered >= self._age_limits.keys() and self._is_fresh()

    def _start_reading(self, reason: str) -> None:
        if self.is_reading:
            return  # started again after an unexpected error
        self._log.decision(
            "store read",
            reason=reason,
            former=self._followed,
            age_ms=_to_ms(self.age()),
        )
        self._metrics.count("table_sources_total", reason=reason.replace(" ", "_"))
        self._scope = anyio.CancelScope()
        self._tasks.start_soon(self._run_feeds, self._scope)

    def _stop_reading(self) -> None:
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
            for feed in self._feeds.values():
                feed.is_reachable = False
            self.on_reader_change()

    async def _run_feeds(self, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                for feed in self._feeds.values():
                    tasks.start_soon(self._tasks.run_loop, feed.run)

    def _handle_reachable(self) -> None:
        self.on_reader_change()
        self.notify_members()

    async def _pause(self, limit_s: float) -> None:
        with anyio.move_on_after(limit_s * self._rng.uniform(0.8, 1)):
            await self._wake.wait()


def _to_ms(span: timedelta | None) -> int | None:
    return None if span is None else span // _MILLISECOND

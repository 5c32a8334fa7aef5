"""Many pure members in one process: a loop over state objects with fake links."""

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from bench.state_holder import StateHolder
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.configuration_delta import ConfigurationDelta
from goldcrestpond.distribution.distribution import Distribution
from goldcrestpond.distribution.distribution_settings import DistributionSettings
from goldcrestpond.distribution.fetch_update import FetchUpdate
from goldcrestpond.distribution.force_claim import ForceClaim
from goldcrestpond.distribution.message_received import (
    MessageReceived as DistributionReceived,
)
from goldcrestpond.distribution.send import Send as DistributionSend
from goldcrestpond.membership.leave import Leave
from goldcrestpond.membership.member_changed import MemberChanged
from goldcrestpond.membership.member_state import MemberState
from goldcrestpond.membership.membership import Membership
from goldcrestpond.membership.membership_settings import MembershipSettings
from goldcrestpond.membership.message_received import MessageReceived
from goldcrestpond.membership.seeds_listed import SeedsListed
from goldcrestpond.membership.send import Send
from goldcrestpond.membership.tick import TICK_MS, Tick

_SEED_COUNT = 3
_READER_COUNT = 3
_READ_PERIOD = timedelta(milliseconds=250)
_LIST_PERIOD = timedelta(seconds=5)


class FleetLoop:
    """Delivers the messages of members to each other, with faults.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    loss : float
        Probability that a datagram is lost.
    duplication : float
        Probability that a datagram arrives twice.
    delay_ms : tuple of float
        Shortest and longest delay; differing delays reorder.
    member_class : type
        Class of the members; tests pass broken variants.
    """

    def __init__(
        self,
        seed: int,
        *,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_ms: tuple[float, float] = (0.5, 2.0),
        member_class: type = Membership,
        distribution_class: type = Distribution,
        settings: MembershipSettings | None = None,
    ):
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.delay_ms = delay_ms
        self.now = timedelta(0)
        self.members: dict[str, Membership] = {}
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.messages: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.deaths: list[tuple[timedelta, str, int]] = []
        self.size_of: Callable[[object], int] = lambda message: 0
        self.busy_s = 0.0
        self.distributions: dict[str, Distribution] = {}
        self.holders: dict[str, StateHolder] = {}
        self.table: dict[str, ConfigurationChange] = {}
        self.revision = 0
        self.table_answers = True
        self.on_claim: Callable[[str, ForceClaim], None] = lambda address, claim: None
        self._claimed: dict[str, int] = {}
        self.lists_instances = True
        self._listed: tuple[str, ...] = ()
        self._list_at = _LIST_PERIOD
        self._read_at = timedelta(0)
        self.clock_offset: dict[str, timedelta] = {}
        self._asleep_until: dict[str, timedelta] = {}
        self._member_class = member_class
        self._distribution_class = distribution_class
        self._settings = settings or MembershipSettings()
        self._order = itertools.count()
        self._events: list[tuple[timedelta, int, str, Membership | None, object]] = []
        self._names = itertools.count()

    def start(self, address: str | None = None) -> str:
        """Start a process at a new address, or in place of the one there."""
        number = next(self._names)
        address = address or f"10.0.{number // 250}.{number % 250 + 1}:7000"
        member = self._member_class(
            f"instance-{number}",
            address,
            f"zone-{number % 3}",
            self._settings,
            random.Random(self.rng.getrandbits(64)),
            self._time_at(address),
        )
        holder = StateHolder(self._time_at(address), self.rng)
        self.holders[address] = holder
        self.distributions[address] = self._distribution_class(
            member,
            holder,
            DistributionSettings(),
            random.Random(self.rng.getrandbits(64)),
            self._time_at(address),
        )
        seeds = [seed for seed in self.members if seed != address][:_SEED_COUNT]
        self.members[address] = member
        self._run(address, member, SeedsListed(tuple(seeds)))
        first_ms = self.rng.random() * TICK_MS
        self._push(timedelta(milliseconds=first_ms), address, member, Tick())
        return address

    def kill(self, address: str) -> int:
        """Stop a process without a word; return its instance id."""
        self._asleep_until.pop(address, None)
        del self.distributions[address], self.holders[address]
        self._claimed.pop(address, None)
        return self.members.pop(address).identity.instance_id

    def leave(self, address: str) -> int:
        """Let a process say that it leaves, and stop it; return its id."""
        self.give(address, Leave())
        return self.kill(address)

    def false_deaths(self) -> int:
        """Return how often a member declared a running process dead."""
        running = {m.identity.instance_id for m in self.members.values()}
        return sum(instance_id in running for _, _, instance_id in self.deaths)

    def write(self, key: str, value: bytes) -> int:
        """Write a row to the table, where a few members read it."""
        self.revision += 1
        self.table[key] = ConfigurationChange(key, self.revision, value)
        return self.revision

    def lowest_revision(self) -> int:
        """Return the lowest revision that a running process holds."""
        return min(holder.state.revision for holder in self.holders.values())

    def pause(self, address: str, duration_s: float) -> None:
        """Let a process sleep: its timers and datagrams wait until it wakes."""
        self._asleep_until[address] = self.now + timedelta(seconds=duration_s)

    def give(self, address: str, event: object) -> None:
        """Hand an event to one member."""
        self._run(address, self.members[address], event)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end = self.now + timedelta(seconds=duration_s)
        while self._events and self._events[0][0] <= end:
            self.now, _, address, member, event = heapq.heappop(self._events)
            self._list_instances()
            self._read_table()
            present = self.members.get(address)
            if present is None or (member is not None and member is not present):
                continue
            if self.now < (until := self._asleep_until.get(address, self.now)):
                self._push(until - self.now, address, member, event)
                continue
            self._asleep_until.pop(address, None)
            self._run(address, present, event)
            if member is not None:
                self._push(timedelta(milliseconds=TICK_MS), address, member, event)
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until ``condition`` holds; return the seconds it took.

        Raises
        ------
        TimeoutError
            If it does not hold within ``limit_s``.
        """
        begun = self.now
        while not condition():
            if (self.now - begun).total_seconds() >= limit_s:
                raise TimeoutError(f"not within {limit_s} s")
            self.run(TICK_MS / 1000)
        return (self.now - begun).total_seconds()

    def agreed(self) -> bool:
        """Return True if each member holds exactly the running ones for live."""
        running = {m.identity.instance_id for m in self.members.values()}
        digests = {member.table.digest for member in self.members.values()}
        if len(digests) > 1:
            return False
        return all(
            {update.instance_id for update in member.live()} == running
            for member in self.members.values()
        )

    def known_dead(self, instance_id: int) -> bool:
        """Return True if no running member holds the instance for live."""
        known = (member.table.get(instance_id) for member in self.members.values())
        return all(update is None or not update.is_live for update in known)

    def _list_instances(self) -> None:
        """Hand out the platform's list, which is one period old."""
        if self.now < self._list_at:
            return
        self._list_at = self.now + _LIST_PERIOD
        if self.lists_instances:
            for address, member in self.members.items():
                self._run(address, member, SeedsListed(self._listed))
        self._listed = tuple(self.members)

    def _read_table(self) -> None:
        """Let the readers among the members read the table."""
        if self.now < self._read_at or not self.table_answers:
            return
        self._read_at = self.now + _READ_PERIOD
        for address in list(self.members)[:_READER_COUNT]:
            if address in self._asleep_until:
                continue
            holder = self.holders[address]
            holder.now = self._time_at(address)
            state = holder.state
            rows = [r for r in self.table.values() if r.revision > state.revision]
            delta = ConfigurationDelta(state.revision, self.revision, rows)
            holder.apply_answer(state.epoch, self.revision, delta, True)

    def _time_at(self, address: str) -> timedelta:
        return self.now + self.clock_offset.get(address, timedelta(0))

    def _run(self, address: str, member: Membership, event: object) -> None:
        now = self._time_at(address)
        self.holders[address].now = now
        begun = time.process_time_ns()
        actions: list[object] = []
        if not isinstance(event, DistributionReceived):
            actions += member.handle_event(event, now)
        if isinstance(event, Tick | DistributionReceived):
            actions += self.distributions[address].handle_event(event, now)
        self.busy_s += (time.process_time_ns() - begun) / 1e9
        for action in actions:
            self._perform(address, action)

    def _perform(self, address: str, action: object) -> None:
        match action:
            case Send() | DistributionSend():
                self._transmit(address, action)
            case MemberChanged():
                self._note_death(address, action)
            case FetchUpdate():
                self._fetch(address, action)

    def _note_claim(self, source: str, claim: ForceClaim) -> None:
        """Report a claim when its root makes it, not when it sends it again."""
        if claim.age_ms == 0 and claim.number > self._claimed.get(source, 0):
            self._claimed[source] = claim.number
            self.on_claim(source, claim)

    def _fetch(self, address: str, action: FetchUpdate) -> None:
        server = self.distributions.get(action.address)
        if server is None or self.cut(address, action.address):
            return
        self.holders[action.address].now = self._time_at(action.address)
        answer = server.answer(action.request)
        if answer is not None:
            event = DistributionReceived(answer, action.address)
            self._push(timedelta(milliseconds=5), address, None, event)

    def _note_death(self, address: str, action: MemberChanged) -> None:
        if action.update.state == MemberState.DEAD:
            self.deaths.append((self.now, address, action.update.instance_id))

    def _transmit(self, source: str, action: Send | DistributionSend) -> None:
        claim = action.message
        if isinstance(claim, ForceClaim) and claim.sender_id == claim.root_id:
            self._note_claim(source, claim)
        self.messages[source] += 1
        self.kinds[type(action.message).__name__] += 1
        self.bytes[source] += self.size_of(action.message)
        if self.cut(source, action.address):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = timedelta(milliseconds=self.rng.uniform(*self.delay_ms))
                event = _received(action, source)
                self._push(delay, action.address, None, event)

    def _push(
        self,
        delay: timedelta,
        address: str,
        member: Membership | None,
        event: object,
    ) -> None:
        item = (self.now + delay, next(self._order), address, member, event)
        heapq.heappush(self._events, item)


def _received(action: Send | DistributionSend, source: str) -> object:
    if isinstance(action, DistributionSend):
        return DistributionReceived(action.message, source)
    return MessageReceived(action.message, source)

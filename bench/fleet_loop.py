"""Discrete-event simulation of a fleet: many members in one process, without I/O."""

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
_TABLE_READ_INTERVAL = timedelta(milliseconds=250)
_INSTANCE_LIST_INTERVAL = timedelta(seconds=5)


class FleetLoop:
    """Simulates members that exchange datagrams over a faulty network.

    Time is simulated and moves only in ``run`` and ``run_until``. Each member has the
    state of a real process (membership, distribution and configuration).

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    loss : float
        Probability that a datagram is lost.
    duplication : float
        Probability that a datagram is sent twice.
    delay_ms : tuple of float
        Shortest and longest delay of a datagram. If they differ, datagrams may
        arrive in another order than they were sent in.
    member_class : type
        Class of the members; tests pass variants with faults.
    distribution_class : type
        Class that distributes the configuration; tests pass variants with faults.
    settings : MembershipSettings or None
        Settings of the members; None for the defaults.

    Attributes
    ----------
    rng : random.Random
        Source of all randomness.
    now : timedelta
        Simulated time.
    members : dict of str to Membership
        Running members by address.
    distributions : dict of str to Distribution
        Distribution of the configuration of each running member, by address.
    holders : dict of str to StateHolder
        Configuration state of each running member, by address.
    cut : callable
        Called with the addresses of a sender and a receiver; returns True if
        nothing passes between them.
    messages, bytes : Counter of str
        Datagrams and bytes sent by each address. Bytes are those that ``size_of``
        returns.
    kinds : Counter of str
        Datagrams sent of each message class.
    size_of : callable
        Returns the size of a message in bytes.
    deaths : list of tuple
        Time, address of the observer and instance id, each time that a member
        declares an instance dead.
    busy_s : float
        Processor time spent in the members.
    table : dict of str to ConfigurationChange
        Rows of the configuration table by key.
    revision : int
        Revision of the table.
    table_answers : bool
        Whether the table can be read.
    lists_instances : bool
        Whether the platform's list of instances is handed out.
    on_claim : callable
        Called with the address of a root of the tree and each new claim that it
        makes.
    clock_offset : dict of str to timedelta
        Offset of a member's clock from the simulated time, by address.
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
        self._last_claim_numbers: dict[str, int] = {}
        self.lists_instances = True
        self._listed_addresses: tuple[str, ...] = ()
        self._next_list_at = _INSTANCE_LIST_INTERVAL
        self._next_read_at = timedelta(0)
        self.clock_offset: dict[str, timedelta] = {}
        self._paused_until: dict[str, timedelta] = {}
        self._member_class = member_class
        self._distribution_class = distribution_class
        self._settings = settings or MembershipSettings()
        self._event_numbers = itertools.count()
        self._events: list[tuple[timedelta, int, str, Membership | None, object]] = []
        self._instance_numbers = itertools.count()

    def start(self, address: str | None = None) -> str:
        """Start a member and return its address.

        Parameters
        ----------
        address : str or None
            Address, whose running member is replaced; None for a new address.
        """
        number = next(self._instance_numbers)
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
        self._run_event(address, member, SeedsListed(tuple(seeds)))
        first_tick_ms = self.rng.random() * TICK_MS
        self._schedule(timedelta(milliseconds=first_tick_ms), address, member, Tick())
        return address

    def kill(self, address: str) -> int:
        """Stop a member without notice to the others; return its instance id."""
        self._paused_until.pop(address, None)
        del self.distributions[address], self.holders[address]
        self._last_claim_numbers.pop(address, None)
        return self.members.pop(address).identity.instance_id

    def leave(self, address: str) -> int:
        """Stop a member after it announced that it leaves; return its instance id."""
        self.deliver_event(address, Leave())
        return self.kill(address)

    def false_deaths(self) -> int:
        """Return how often an instance that runs now was declared dead."""
        running = {m.identity.instance_id for m in self.members.values()}
        return sum(instance_id in running for _, _, instance_id in self.deaths)

    def write(self, key: str, value: bytes) -> int:
        """Write a row to the table and return its revision.

        Only a few members read the table; the others receive the row from them.
        """
        self.revision += 1
        self.table[key] = ConfigurationChange(key, self.revision, value)
        return self.revision

    def lowest_revision(self) -> int:
        """Return the lowest configuration revision of all running members."""
        return min(holder.state.revision for holder in self.holders.values())

    def pause(self, address: str, duration_s: float) -> None:
        """Pause a member: its timers and datagrams are delayed until the pause ends."""
        self._paused_until[address] = self.now + timedelta(seconds=duration_s)

    def deliver_event(self, address: str, event: object) -> None:
        """Deliver an event to one member."""
        self._run_event(address, self.members[address], event)

    def run(self, duration_s: float) -> None:
        """Advance the simulated time and deliver all events that are due."""
        end = self.now + timedelta(seconds=duration_s)
        while self._events and self._events[0][0] <= end:
            self.now, _, address, member, event = heapq.heappop(self._events)
            self._deliver_instance_list()
            self._read_table()
            current_member = self.members.get(address)
            if current_member is None or (
                member is not None and member is not current_member
            ):
                continue
            if self.now < (until := self._paused_until.get(address, self.now)):
                self._schedule(until - self.now, address, member, event)
                continue
            self._paused_until.pop(address, None)
            self._run_event(address, current_member, event)
            if member is not None:
                self._schedule(timedelta(milliseconds=TICK_MS), address, member, event)
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance the simulated time until ``condition`` holds; return the seconds.

        Raises
        ------
        TimeoutError
            If the condition does not hold within ``limit_s``.
        """
        started = self.now
        while not condition():
            if (self.now - started).total_seconds() >= limit_s:
                raise TimeoutError(f"condition not met within {limit_s} s")
            self.run(TICK_MS / 1000)
        return (self.now - started).total_seconds()

    def agreed(self) -> bool:
        """Return True if each member regards exactly the running members as live."""
        running = {m.identity.instance_id for m in self.members.values()}
        digests = {member.table.digest for member in self.members.values()}
        if len(digests) > 1:
            return False
        return all(
            {update.instance_id for update in member.live()} == running
            for member in self.members.values()
        )

    def known_dead(self, instance_id: int) -> bool:
        """Return True if no running member regards the instance as live."""
        updates = (member.table.get(instance_id) for member in self.members.values())
        return all(update is None or not update.is_live for update in updates)

    def _deliver_instance_list(self) -> None:
        """Deliver the platform's list of instances, which is one period old."""
        if self.now < self._next_list_at:
            return
        self._next_list_at = self.now + _INSTANCE_LIST_INTERVAL
        if self.lists_instances:
            for address, member in self.members.items():
                self._run_event(address, member, SeedsListed(self._listed_addresses))
        self._listed_addresses = tuple(self.members)

    def _read_table(self) -> None:
        """Let the first few members read the configuration table."""
        if self.now < self._next_read_at or not self.table_answers:
            return
        self._next_read_at = self.now + _TABLE_READ_INTERVAL
        for address in list(self.members)[:_READER_COUNT]:
            if address in self._paused_until:
                continue
            holder = self.holders[address]
            holder.now = self._time_at(address)
            state = holder.state
            rows = [r for r in self.table.values() if r.revision > state.revision]
            delta = ConfigurationDelta(state.revision, self.revision, rows)
            holder.apply_answer(state.epoch, self.revision, delta, True)

    def _time_at(self, address: str) -> timedelta:
        return self.now + self.clock_offset.get(address, timedelta(0))

    def _run_event(self, address: str, member: Membership, event: object) -> None:
        now = self._time_at(address)
        self.holders[address].now = now
        started = time.process_time_ns()
        actions: list[object] = []
        if not isinstance(event, DistributionReceived):
            actions += member.handle_event(event, now)
        if isinstance(event, Tick | DistributionReceived):
            actions += self.distributions[address].handle_event(event, now)
        self.busy_s += (time.process_time_ns() - started) / 1e9
        for action in actions:
            self._perform(address, action)

    def _perform(self, address: str, action: object) -> None:
        match action:
            case Send() | DistributionSend():
                self._send(address, action)
            case MemberChanged():
                self._record_death(address, action)
            case FetchUpdate():
                self._fetch_update(address, action)

    def _report_claim(self, source: str, claim: ForceClaim) -> None:
        """Call ``on_claim`` for a claim that its root has just made, once for each."""
        if claim.age_ms == 0 and claim.number > self._last_claim_numbers.get(source, 0):
            self._last_claim_numbers[source] = claim.number
            self.on_claim(source, claim)

    def _fetch_update(self, address: str, action: FetchUpdate) -> None:
        server = self.distributions.get(action.address)
        if server is None or self.cut(address, action.address):
            return
        self.holders[action.address].now = self._time_at(action.address)
        answer = server.answer(action.request)
        if answer is not None:
            event = DistributionReceived(answer, action.address)
            self._schedule(timedelta(milliseconds=5), address, None, event)

    def _record_death(self, address: str, action: MemberChanged) -> None:
        if action.update.state == MemberState.DEAD:
            self.deaths.append((self.now, address, action.update.instance_id))

    def _send(self, source: str, action: Send | DistributionSend) -> None:
        claim = action.message
        if isinstance(claim, ForceClaim) and claim.sender_id == claim.root_id:
            self._report_claim(source, claim)
        self.messages[source] += 1
        self.kinds[type(action.message).__name__] += 1
        self.bytes[source] += self.size_of(action.message)
        if self.cut(source, action.address):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = timedelta(milliseconds=self.rng.uniform(*self.delay_ms))
                event = _make_received_event(action, source)
                self._schedule(delay, action.address, None, event)

    def _schedule(
        self,
        delay: timedelta,
        address: str,
        member: Membership | None,
        event: object,
    ) -> None:
        item = (self.now + delay, next(self._event_numbers), address, member, event)
        heapq.heappush(self._events, item)


def _make_received_event(action: Send | DistributionSend, source: str) -> object:
    if isinstance(action, DistributionSend):
        return DistributionReceived(action.message, source)
    return MessageReceived(action.message, source)

"""The membership protocol of one instance."""

import math
import random
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from .byte_budget import ByteBudget
from .gossip import Gossip
from .leave import Leave
from .member_changed import MemberChanged
from .member_state import MemberState
from .member_table import BUCKET_COUNT, MemberTable
from .member_update import MemberUpdate, supersedes
from .membership_settings import MembershipSettings
from .message import Message
from .message_received import MessageReceived
from .outstanding_probe import OutstandingProbe
from .probe import Probe
from .probe_answer import ProbeAnswer
from .probe_request import ProbeRequest
from .seeds_listed import SeedsListed
from .send import Send
from .suspicion import Suspicion
from .sync_request import SyncRequest
from .tick import Tick
from .update_queue import UpdateQueue

# Estimated sizes on the wire, for the byte budget.
MESSAGE_BYTES = 64
UPDATE_BYTES = 76
_MAX_SYNC_DATAGRAMS = 4
_ID_BITS = 64
_SEED_SAMPLE_SIZE = 16

Event = MessageReceived | SeedsListed | Leave | Tick
Action = Send | MemberChanged


class Membership:
    """Detects which instances are alive, by probes and gossip.

    Each probe period one instance is probed, alternately the next one on the
    ring and a random one. So each instance is probed at a fixed rate and the
    work of a member does not grow with the fleet. A target that does not answer
    becomes suspect; it learns of that and refutes by a higher incarnation. Only
    a member whose own probes timed out declares an instance dead.

    Parameters
    ----------
    name : str
        Name of this instance.
    address : str
        ``IP:PORT`` of its peer socket.
    availability_zone : str
        Its availability zone.
    settings : MembershipSettings
        Periods and limits.
    rng : random.Random
        Source of randomness, also for the instance id.
    now : timedelta
        Monotonic time.
    """

    def __init__(
        self,
        name: str,
        address: str,
        availability_zone: str,
        settings: MembershipSettings,
        rng: random.Random,
        now: timedelta,
    ):
        self._settings = settings
        self._rng = rng
        self._now = now
        self._last_clock_time = now
        self._ticked_at = now
        self._self = MemberUpdate(
            rng.getrandbits(_ID_BITS) or 1,
            0,
            MemberState.ALIVE,
            name,
            address,
            availability_zone,
        )
        self.table = MemberTable()
        self._queue = UpdateQueue()
        self._budget = ByteBudget(
            settings.gossip_bytes_per_s, settings.gossip_burst_bytes
        )
        self._probes: dict[int, OutstandingProbe] = {}
        self._last_probe_number = rng.getrandbits(32)
        self._suspicions: dict[int, Suspicion] = {}
        self._reported_suspects: dict[int, timedelta] = {}
        self._seeds: tuple[str, ...] | None = None
        self._join_deadline = now + settings.join_limit
        self._next_probe_at = now + settings.probe_period * rng.random()
        self._is_successor_turn = True
        self._next_contact_at = now
        self._next_sync_at = now
        self._mismatch_since: timedelta | None = None
        self._joining = True
        self._has_left = False
        self._actions: list[Action] = []
        self._announce_self()

    @property
    def identity(self) -> MemberUpdate:
        """Update that describes this process."""
        return self._self

    @property
    def pending_update_count(self) -> int:
        """Number of updates that are still to be passed on."""
        return len(self._queue)

    @property
    def is_joining(self) -> bool:
        """Whether there may be a fleet that this process has not joined yet."""
        is_alone = self._seeds == ()
        return self._joining and not is_alone and self._now < self._join_deadline

    def live(self) -> list[MemberUpdate]:
        """Return all live instances, this one included."""
        return self.table.live()

    def handle_event(self, event: Event, now: timedelta) -> list[Action]:
        """Process one event.

        Parameters
        ----------
        event : MessageReceived, SeedsListed, Leave or Tick
            The event.
        now : timedelta
            Monotonic time; if it goes back, no time counts as passed.

        Returns
        -------
        list of Send or MemberChanged
            Actions to perform, in order.
        """
        self._now += max(now - self._last_clock_time, timedelta(0))
        self._last_clock_time = now
        if self._has_left:
            return []
        match event:
            case MessageReceived(message, source):
                self._on_message(message, source)
            case Tick():
                self._on_tick()
            case SeedsListed(addresses):
                self._seeds = addresses
            case Leave():
                self._on_leave()
        actions, self._actions = self._actions, []
        return actions

    # Timers

    def _on_tick(self) -> None:
        if self._now - self._ticked_at > self._settings.pause_limit:
            self._reset_timeouts()
        self._ticked_at = self._now
        self._budget.refill(self._now)
        self._advance_probes()
        self._advance_suspicions()
        self._probe_reported_suspects()
        if self._now >= self._next_probe_at:
            self._next_probe_at = self._now + self._settings.probe_period
            self._probe_next()
        if self._now >= self._next_contact_at:
            self._contact_others()
        self._gossip_new_updates()
        self.table.drop_tombstones_before(self._now - self._settings.tombstone_lifetime)

    def _reset_timeouts(self) -> None:
        """Discard outstanding probes and restart the timeouts of suspicions.

        Called after this process was paused: answers may not have been read.
        """
        self._probes.clear()
        for suspicion in self._suspicions.values():
            suspicion.deadline = self._now + self._settings.suspicion_timeout
        for instance_id in self._reported_suspects:
            self._reported_suspects[instance_id] = self._own_probe_time()

    def _probe_next(self) -> None:
        target = self._next_target()
        if target is not None:
            self._probe(target, is_decisive=True)

    def _next_target(self) -> MemberUpdate | None:
        ring = self.table.ring
        self._is_successor_turn = not self._is_successor_turn
        if self._is_successor_turn:
            found = ring.successor(self._self.instance_id)
        else:
            found = next(iter(self._sample(1)), None)
        return None if found is None else self.table.get(found)

    def _sample(self, count: int) -> list[int]:
        return self.table.ring.sample(count, self._rng, {self._self.instance_id})

    def _probe(self, target: MemberUpdate, *, is_decisive: bool) -> None:
        number = self._next_number()
        self._probes[number] = OutstandingProbe(
            target.instance_id, target.address, self._now, is_decisive
        )
        self._send_probe(number, target)

    def _send_probe(self, number: int, target: MemberUpdate, origin: str = "") -> None:
        probe = Probe(
            sender_id=self._self.instance_id,
            digest=self.table.digest,
            number=number,
            target_id=target.instance_id,
            target_incarnation=target.incarnation,
            target_state=target.state,
            origin=origin,
            updates=self._piggyback(),
        )
        self._send(target.address, probe)

    def _next_number(self) -> int:
        self._last_probe_number = (self._last_probe_number + 1) % (1 << 64)
        return self._last_probe_number

    def _advance_probes(self) -> None:
        for number, probe in list(self._probes.items()):
            age = self._now - probe.sent_at
            if age >= self._settings.probe_deadline:
                del self._probes[number]
                self._on_probe_timeout(probe)
            elif probe.is_decisive:
                self._escalate_probe(number, probe, age)

    def _escalate_probe(
        self, number: int, probe: OutstandingProbe, age: timedelta
    ) -> None:
        target = self.table.get(probe.target_id)
        if target is None or not target.is_live:
            return
        if probe.attempts == 1 and age >= self._settings.probe_repeat_after:
            probe.attempts = 2
            self._send_probe(number, target)
        if probe.attempts == 2 and age >= self._settings.probe_relay_after:
            probe.attempts = 3
            self._ask_helpers(number, target, self._settings.helper_count)

    def _ask_helpers(self, number: int, target: MemberUpdate, count: int) -> None:
        request = ProbeRequest(
            sender_id=self._self.instance_id,
            number=number,
            target_id=target.instance_id,
            target_incarnation=target.incarnation,
            target_state=target.state,
            target_address=target.address,
        )
        for helper in self._sample(count + 1)[:count]:
            if helper != target.instance_id:
                self._send(self.table.get(helper).address, request)

    def _on_probe_timeout(self, probe: OutstandingProbe) -> None:
        target = self.table.get(probe.target_id)
        if not probe.is_decisive or target is None or not target.is_live:
            return
        if probe.target_id in self._suspicions:
            return
        self._suspicions[probe.target_id] = Suspicion(
            target.incarnation,
            self._now + self._settings.suspicion_timeout,
            self._now,
        )
        self._record_own_detection(target, MemberState.SUSPECT)

    def _advance_suspicions(self) -> None:
        for instance_id, suspicion in list(self._suspicions.items()):
            target = self.table.get(instance_id)
            if not _is_still_suspect(target, suspicion):
                del self._suspicions[instance_id]
            elif self._now >= suspicion.deadline:
                del self._suspicions[instance_id]
                self._record_own_detection(target, MemberState.DEAD)
            elif self._now >= suspicion.next_probe_at:
                suspicion.next_probe_at = (
                    self._now + self._settings.suspect_probe_period
                )
                self._probe(target, is_decisive=False)
                self._ask_helpers(self._last_probe_number, target, 1)

    def _probe_reported_suspects(self) -> None:
        for instance_id, deadline in list(self._reported_suspects.items()):
            target = self.table.get(instance_id)
            if target is None or target.state != MemberState.SUSPECT:
                del self._reported_suspects[instance_id]
            elif self._now >= deadline:
                del self._reported_suspects[instance_id]
                self._probe(target, is_decisive=True)

    def _contact_others(self) -> None:
        is_alone = len(self.table.ring) <= 1
        period = (
            self._settings.probe_period if is_alone else self._settings.contact_period
        )
        self._next_contact_at = self._now + period
        dead = self.table.tombstones_with_state(MemberState.DEAD)
        if dead:
            self._probe(self.table.get(self._rng.choice(dead)), is_decisive=False)
        seeds = self._seeds or ()
        candidates = self._rng.sample(seeds, min(_SEED_SAMPLE_SIZE, len(seeds)))
        for seed in candidates:
            if not self.table.live_at_address(seed):
                self._contact_seed(seed)
                return

    def _contact_seed(self, address: str) -> None:
        number = self._next_number()
        self._probes[number] = OutstandingProbe(0, address, self._now, False)
        probe = Probe(
            sender_id=self._self.instance_id,
            digest=self.table.digest,
            number=number,
            updates=[self._self],
        )
        self._send(address, probe)

    # Gossip

    def _gossip_new_updates(self) -> None:
        fanout = self._settings.eager_fanout
        limit = self._settings.updates_per_gossip
        while count := min(self._queue.count_sent_below(fanout), limit):
            receivers = self._sample(fanout)
            size_bytes = len(receivers) * (MESSAGE_BYTES + count * UPDATE_BYTES)
            if not receivers or not self._budget.spend(size_bytes):
                return
            updates = self._queue.take(limit, fanout, self._send_limit())
            for receiver in receivers:
                self._send_gossip(self.table.get(receiver).address, updates)

    def _send_gossip(
        self,
        address: str,
        updates: list[MemberUpdate],
        *,
        is_answer: bool = False,
        more: bool = False,
    ) -> None:
        own_id = self._self.instance_id
        gossip = Gossip(own_id, self.table.digest, updates, is_answer, more)
        self._send(address, gossip)

    def _piggyback(self) -> list[MemberUpdate]:
        limit = self._settings.updates_per_probe
        return self._queue.take(limit, 1, self._send_limit())

    def _send_limit(self) -> int:
        rounds = math.ceil(math.log2(len(self.table.ring) + 1))
        return self._settings.eager_fanout + 2 * rounds

    # Messages

    def _on_message(self, message: Message, source: str) -> None:
        if message.sender_id == self._self.instance_id:
            return
        match message:
            case Probe():
                self._on_probe(message, source)
            case ProbeAnswer():
                self._on_probe_answer(message, source)
            case ProbeRequest():
                self._on_probe_request(message, source)
            case Gossip():
                self._on_gossip(message, source)
            case SyncRequest():
                self._on_sync_request(message, source)

    def _on_probe(self, probe: Probe, source: str) -> None:
        self._merge_updates(probe.updates, source)
        if probe.target_id == self._self.instance_id:
            self._refute(probe.target_state, probe.target_incarnation)
        answer = ProbeAnswer(
            sender_id=self._self.instance_id,
            digest=self.table.digest,
            number=probe.number,
            responder=self._self,
            origin=probe.origin,
            updates=self._piggyback(),
        )
        self._send(source, answer)
        self._check_sender(probe.sender_id, probe.digest, source)

    def _on_probe_answer(self, answer: ProbeAnswer, source: str) -> None:
        self._merge_updates([answer.responder, *answer.updates], source)
        if answer.origin:
            forwarded = msgspec.structs.replace(
                answer, sender_id=self._self.instance_id, origin="", updates=[]
            )
            self._send(answer.origin, forwarded)
            return
        probe = self._probes.pop(answer.number, None)
        if probe is not None:
            self._apply_probe_answer(probe, answer.responder)
        self._check_sender(answer.sender_id, answer.digest, source)

    def _apply_probe_answer(
        self, probe: OutstandingProbe, responder: MemberUpdate
    ) -> None:
        suspicion = self._suspicions.get(responder.instance_id)
        if suspicion is not None:
            suspicion.deadline = self._now + self._settings.suspicion_timeout
        if probe.address != responder.address:
            return
        for other in self.table.live_at_address(probe.address):
            if other == responder.instance_id:
                continue
            # A process that was known before the probe was sent, and that did
            # not answer it, no longer has the address.
            if self.table.first_seen_at(other) <= probe.sent_at:
                replaced = self.table.get(other)
                self._record_own_detection(replaced, MemberState.LEFT)

    def _on_probe_request(self, request: ProbeRequest, source: str) -> None:
        target = MemberUpdate(
            request.target_id,
            request.target_incarnation,
            request.target_state,
            "",
            request.target_address,
            "",
        )
        self._send_probe(request.number, target, origin=source)

    def _on_gossip(self, gossip: Gossip, source: str) -> None:
        spread = not gossip.is_answer
        changed = self._merge_updates(gossip.updates, source, spread=spread)
        if gossip.more and changed:
            self._request_sync_from_random()
        self._check_sender(gossip.sender_id, gossip.digest, source)

    def _on_sync_request(self, request: SyncRequest, source: str) -> None:
        own = self.table.bucket_digests
        theirs = request.bucket_digests
        if len(theirs) != BUCKET_COUNT:
            return
        differing = [n for n in range(BUCKET_COUNT) if own[n] != theirs[n]]
        self._rng.shuffle(differing)
        self._send_sync_answer(differing, source)

    def _send_sync_answer(self, buckets: list[int], source: str) -> None:
        limit = self._settings.updates_per_gossip
        updates = [update for n in buckets for update in self.table.bucket(n)]
        parts = [updates[i : i + limit] for i in range(0, len(updates), limit)]
        for number, part in enumerate(parts[:_MAX_SYNC_DATAGRAMS], start=1):
            if not self._budget.spend(MESSAGE_BYTES + len(part) * UPDATE_BYTES):
                return
            more = number == _MAX_SYNC_DATAGRAMS and len(parts) > _MAX_SYNC_DATAGRAMS
            self._send_gossip(source, part, is_answer=True, more=more)

    def _request_sync_from_random(self) -> None:
        self._next_sync_at = self._now + self._sync_pause()
        self._mismatch_since = None
        for receiver in self._sample(1):
            self._send_sync_request(self.table.get(receiver).address)

    def _send_sync_request(self, address: str) -> None:
        request = SyncRequest(self._self.instance_id, self.table.bucket_digests)
        self._send(address, request)

    def _check_sender(self, sender_id: int, digest: int, source: str) -> None:
        sender = self.table.get(sender_id)
        if sender is not None and not sender.is_live:
            self._notify_presumed_dead(sender, source)
        self._compare_digest(digest, source)

    def _notify_presumed_dead(self, sender: MemberUpdate, source: str) -> None:
        """Probe a dead or left sender, so that it refutes or draws a new id."""
        if self._budget.spend(MESSAGE_BYTES):
            target = msgspec.structs.replace(sender, address=source)
            self._probe(target, is_decisive=False)

    def _compare_digest(self, digest: int, source: str) -> None:
        if digest == self.table.digest:
            self._mismatch_since = None
            self._joining = False
            return
        if self._mismatch_since is None:
            self._mismatch_since = self._now
        has_lasted = self._now - self._mismatch_since >= self._settings.sync_period / 2
        if self._now >= self._next_sync_at and (self._joining or has_lasted):
            self._next_sync_at = self._now + self._sync_pause()
            self._mismatch_since = None
            self._send_sync_request(source)

    def _sync_pause(self) -> timedelta:
        if self._joining:
            return self._settings.probe_period
        return self._settings.sync_period

    # Member table

    def _merge_updates(
        self, updates: Iterable[MemberUpdate], source: str, *, spread: bool = True
    ) -> int:
        changed = 0
        corrections = []
        for update in updates:
            if self._merge_update(self._downgrade_death(update), spread=spread):
                changed += 1
                continue
            known = self.table.get(update.instance_id)
            if known is not None and supersedes(known, update):
                corrections.append(known)
        self._send_corrections(corrections[: self._settings.updates_per_gossip], source)
        return changed

    def _send_corrections(self, corrections: list[MemberUpdate], source: str) -> None:
        size_bytes = MESSAGE_BYTES + len(corrections) * UPDATE_BYTES
        if corrections and self._budget.spend(size_bytes):
            self._send_gossip(source, corrections)

    def _downgrade_death(self, update: MemberUpdate) -> MemberUpdate:
        """Treat the reported death of an unsuspected instance as a suspicion.

        After a partition each side has declared the other dead. Without this,
        the first contact would spread those deaths of live instances.
        """
        known = self.table.get(update.instance_id)
        unsuspected = known is not None and known.state == MemberState.ALIVE
        if unsuspected and update.state == MemberState.DEAD:
            return msgspec.structs.replace(update, state=MemberState.SUSPECT)
        return update

    def _record_own_detection(self, target: MemberUpdate, state: MemberState) -> None:
        """Record and gossip a state that this member's own probes detected."""
        update = msgspec.structs.replace(target, state=state)
        self._merge_update(update, is_own_detection=True)

    def _merge_update(
        self,
        update: MemberUpdate,
        *,
        spread: bool = True,
        is_own_detection: bool = False,
    ) -> bool:
        if update.instance_id == self._self.instance_id:
            self._refute(update.state, update.incarnation)
            return False
        if not self.table.merge(update, self._now):
            return False
        if spread:
            self._queue.put(update)
        self._actions.append(MemberChanged(update, is_own_detection))
        if update.state == MemberState.SUSPECT:
            self._reported_suspects.setdefault(
                update.instance_id, self._own_probe_time()
            )
        if update.is_live and len(self.table.live_at_address(update.address)) > 1:
            self._probe(update, is_decisive=False)
        return True

    def _own_probe_time(self) -> timedelta:
        timeout = self._settings.heard_suspicion_timeout
        return self._now + timeout + timeout * self._rng.random()

    def _refute(self, state: MemberState, incarnation: int) -> None:
        if state == MemberState.ALIVE:
            return
        if state == MemberState.LEFT:
            self._draw_new_identity()
        elif incarnation >= self._self.incarnation:
            self._self = msgspec.structs.replace(
                self._self, incarnation=incarnation + 1
            )
            self._announce_self()

    def _draw_new_identity(self) -> None:
        left = msgspec.structs.replace(self._self, state=MemberState.LEFT)
        self.table.merge(left, self._now)
        new_id = self._rng.getrandbits(_ID_BITS) or 1
        self._self = msgspec.structs.replace(
            self._self, instance_id=new_id, incarnation=0
        )
        self._announce_self()

    def _announce_self(self) -> None:
        self.table.merge(self._self, self._now)
        self._queue.put(self._self)

    def _on_leave(self) -> None:
        self._has_left = True
        left = msgspec.structs.replace(self._self, state=MemberState.LEFT)
        self.table.merge(left, self._now)
        for receiver in self._sample(2 * self._settings.eager_fanout):
            self._send_gossip(self.table.get(receiver).address, [left])

    def _send(self, address: str, message: Message) -> None:
        self._actions.append(Send(address, message))


def _is_still_suspect(target: MemberUpdate | None, suspicion: Suspicion) -> bool:
    if target is None or target.state != MemberState.SUSPECT:
        return False
    return target.incarnation == suspicion.incarnation

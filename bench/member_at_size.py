"""Measures the memory and the cost per event of one member of a large fleet.

``python -m bench.member_at_size [--sizes 50,5800]`` prints one JSON line. Only
one member runs; its table lists all the others of the fleet.
"""

import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import fire
import msgspec

from goldcrestpond.configuration.revision_count import RevisionCount
from goldcrestpond.distribution.distribution import Distribution
from goldcrestpond.distribution.distribution_settings import DistributionSettings
from goldcrestpond.distribution.force_report import ForceReport
from goldcrestpond.distribution.message_received import (
    MessageReceived as DistributionReceived,
)
from goldcrestpond.membership.gossip import Gossip
from goldcrestpond.membership.member_state import MemberState
from goldcrestpond.membership.member_update import MemberUpdate
from goldcrestpond.membership.membership import Membership
from goldcrestpond.membership.membership_settings import MembershipSettings
from goldcrestpond.membership.message_received import MessageReceived
from goldcrestpond.membership.probe import Probe
from goldcrestpond.membership.probe_answer import ProbeAnswer
from goldcrestpond.membership.ring import Ring
from goldcrestpond.membership.send import Send
from goldcrestpond.membership.tick import TICK_MS, Tick

from .state_holder import StateHolder

_ROUND_COUNT = 5
_EVENT_COUNT = 2000
_SOURCE_ADDRESS = "10.1.0.1:7000"


def measure(sizes: tuple[int, ...] = (50, 500, 5800), seeds: int = 5) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of members of the measured fleets.
    seeds : int
        Number of random trees whose depth and children are measured.
    """
    steps = [_measure_size(size, seeds) for size in sizes]
    print(msgspec.json.encode({"bench": "member_at_size", "steps": steps}).decode())


def _measure_size(size: int, seeds: int) -> dict:
    rng = random.Random(size)
    updates = [_make_update(rng, number) for number in range(size - 1)]
    tracemalloc.start()
    member = _make_member(updates, rng)
    table_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "size": size,
        "table_bytes": table_bytes,
        "tick_us": _measure_event_us(member, lambda number: Tick()),
        "probe_us": _measure_event_us(
            member, lambda number: _make_probe_event(member, number)
        ),
        "update_us": _measure_event_us(
            member,
            lambda number: _make_gossip_event(
                member, updates[number % len(updates)], number
            ),
        ),
        "distribution": _measure_distribution(member),
        "tree": [_measure_tree(size, seed) for seed in range(seeds)],
    }


def _make_member(updates: list[MemberUpdate], rng: random.Random) -> Membership:
    settings = MembershipSettings(gossip_bytes_per_s=0, gossip_burst_bytes=0)
    member = Membership("self", "10.0.0.1:7000", "z", settings, rng, timedelta(0))
    for update in updates:
        member.table.merge(msgspec.structs.replace(update), timedelta(0))
    return member


def _make_update(rng: random.Random, number: int) -> MemberUpdate:
    return MemberUpdate(
        rng.getrandbits(64) or 1,
        0,
        MemberState.ALIVE,
        f"proxy-{number:05}",
        f"10.1.{number // 250}.{number % 250 + 1}:7000",
        f"zone-{number % 22:02}",
    )


def _make_probe_event(member: Membership, number: int) -> MessageReceived:
    probe = Probe(1, member.table.digest, number, member.identity.instance_id)
    return MessageReceived(probe, _SOURCE_ADDRESS)


def _make_gossip_event(
    member: Membership, update: MemberUpdate, number: int
) -> MessageReceived:
    newer = msgspec.structs.replace(update, incarnation=number + 1)
    return MessageReceived(Gossip(1, member.table.digest, [newer]), _SOURCE_ADDRESS)


def _measure_event_us(member: Membership, make_event: Callable[[int], object]) -> dict:
    """Return the cost of one event in microseconds, with one event per tick period."""
    round_costs_us = []
    now = member._now
    number = 0
    for _ in range(_ROUND_COUNT):
        spent_ns = 0
        for _ in range(_EVENT_COUNT):
            number += 1
            now += timedelta(milliseconds=TICK_MS)
            # A longer time since the last tick would count as a pause of the process.
            member._ticked_at = now
            event = make_event(number)
            started = time.perf_counter_ns()
            actions = member.handle_event(event, now)
            spent_ns += time.perf_counter_ns() - started
            _answer_probes(member, actions, now)
        round_costs_us.append(spent_ns / _EVENT_COUNT / 1000)
    return {
        "median": round(statistics.median(round_costs_us), 2),
        "max": round(max(round_costs_us), 2),
    }


def _measure_distribution(member: Membership) -> dict:
    """Return the cost of a tick and of a report for the parent of most members."""
    ring = member.table.ring
    parents = Counter(ring.parent(update.instance_id) for update in member.live())
    busiest, children = max(
        (item for item in parents.items() if item[0]), key=lambda item: item[1]
    )
    member._self = member.table.get(busiest)
    now = timedelta(0)
    holder = StateHolder(now, random.Random(1))
    distribution = Distribution(
        member, holder, DistributionSettings(), random.Random(1), now
    )
    senders = [
        update.instance_id
        for update in member.live()
        if ring.parent(update.instance_id) == busiest
    ]
    spent_ns = {"tick_us": 0, "report_us": 0}
    for number in range(_EVENT_COUNT):
        now += timedelta(milliseconds=TICK_MS)
        holder.now = now
        counts = [RevisionCount(number, 3)]
        report = ForceReport(senders[number % children], number, counts)
        received = DistributionReceived(report, _SOURCE_ADDRESS)
        for name, event in (("report_us", received), ("tick_us", Tick())):
            started = time.perf_counter_ns()
            distribution.handle_event(event, now)
            spent_ns[name] += time.perf_counter_ns() - started
    costs = {
        name: round(spent / _EVENT_COUNT / 1000, 2) for name, spent in spent_ns.items()
    }
    return {"children": children, **costs}


def _answer_probes(member: Membership, actions: list, now: timedelta) -> None:
    """Answer the member's probes as the probed members would; not measured."""
    for action in actions:
        if isinstance(action, Send) and isinstance(action.message, Probe):
            probe = action.message
            responder = member.table.get(probe.target_id)
            digest = member.table.digest
            answer = ProbeAnswer(probe.target_id, digest, probe.number, responder)
            member.handle_event(MessageReceived(answer, action.address), now)


def _measure_tree(size: int, seed: int) -> dict:
    rng = random.Random(seed)
    ring = Ring()
    ids = [rng.getrandbits(64) or 1 for _ in range(size)]
    for instance_id in ids:
        ring.add(instance_id)
    parents = {instance_id: ring.parent(instance_id) for instance_id in ids}
    most_common = statistics.multimode(parents.values())
    children_max = sum(parent == most_common[0] for parent in parents.values())
    return {
        "depth": max(_compute_depth(parents, instance_id) for instance_id in ids),
        "children_max": children_max,
    }


def _compute_depth(parents: dict[int, int | None], instance_id: int) -> int:
    depth = 0
    while (parent := parents[instance_id]) is not None:
        instance_id = parent
        depth += 1
    return depth


if __name__ == "__main__":
    fire.Fire(measure)

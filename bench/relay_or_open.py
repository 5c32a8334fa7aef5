"""Compares policies for when an instance relays requests or opens a connection.

``python -m bench.relay_or_open`` prints one JSON line. A request over a connection of
the instance costs 0 and a relayed request 1. Opening a connection costs the cost
ratio: the time to open one divided by the round trip of a relayed request. The
ratios are those of 10 ms to 2 ms and of 30 ms to 1 ms.
"""

import itertools
import json
import random
import statistics
import time
from collections.abc import Callable, Iterator

import fire

from goldcrestpond.placement.access import Access
from goldcrestpond.placement.access_policies import (
    AccessPolicy,
    always_open,
    always_relay,
    open_after,
    retrospective,
)

_COST_RATIOS = (5, 30)
_ZIPF_EXPONENT = 1.0


def _zipf(rng: random.Random, groups: int) -> Iterator[str]:
    """Draw groups with a Zipf distribution."""
    names = [f"g{number}" for number in range(groups)]
    rng.shuffle(names)
    weights = [1 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(groups)]
    while True:
        yield from rng.choices(names, weights, k=1000)


def _drift(rng: random.Random, groups: int) -> Iterator[str]:
    """Draw from a Zipf distribution whose ranking changes every 5000 requests."""
    while True:
        yield from itertools.islice(_zipf(rng, groups), 5000)


def _uniform(rng: random.Random, groups: int) -> Iterator[str]:
    """Draw all groups with the same probability."""
    while True:
        yield f"g{rng.randrange(groups)}"


def _bursts(rng: random.Random, groups: int) -> Iterator[str]:
    """Mix bursts for one group, such as those of one session, with steady traffic."""
    steady = _zipf(rng, groups)
    while True:
        burst = f"g{rng.randrange(groups)}"
        for _ in range(rng.randrange(2, 80)):
            yield burst if rng.random() < 0.7 else next(steady)


def _cycle(rng: random.Random, groups: int) -> Iterator[str]:
    """Request each group in turn: the worst order for least-recently-used eviction."""
    while True:
        yield from (f"g{number}" for number in range(groups))


_SEQUENCES = {
    "zipf": _zipf,
    "drift": _drift,
    "uniform": _uniform,
    "bursts": _bursts,
    "cycle": _cycle,
}


def _list_policies(ratio: int, capacity: int) -> dict[str, Callable[[], AccessPolicy]]:
    return {
        "always_relay": always_relay,
        "always_open": lambda: always_open(capacity),
        "open_after_ratio": lambda: open_after(ratio, capacity),
        "open_after_2_ratio": lambda: open_after(2 * ratio, capacity),
        "open_after_4_ratio": lambda: open_after(4 * ratio, capacity),
        "retrospective": lambda: retrospective(ratio, capacity),
    }


def _compute_cost(policy: AccessPolicy, requests: list[str], ratio: int) -> int:
    access_costs = {Access.OWN: 0, Access.RELAY: 1, Access.OPEN: ratio}
    return sum(access_costs[policy(group)] for group in requests)


def run(
    groups: int = 200, capacity: int = 20, requests: int = 40_000, seeds: int = 5
) -> None:
    """Compare the policies and print one JSON line.

    Parameters
    ----------
    groups : int
        Number of groups that are requested.
    capacity : int
        Number of groups to which the instance may have connections.
    requests : int
        Length of one sequence of requests.
    seeds : int
        Number of sequences of each kind, of whose costs the median is reported.
    """
    costs: dict[str, dict[str, float]] = {}
    decide_us: dict[str, list[float]] = {}
    for ratio, (kind, make_sequence) in itertools.product(
        _COST_RATIOS, _SEQUENCES.items()
    ):
        costs_by_policy: dict[str, list[float]] = {}
        for seed in range(seeds):
            source = make_sequence(random.Random(seed), groups)
            sequence = list(itertools.islice(source, requests))
            for name, make_policy in _list_policies(ratio, capacity).items():
                started = time.process_time()
                cost = _compute_cost(make_policy(), sequence, ratio) / requests
                spent_us = (time.process_time() - started) / requests * 1e6
                costs_by_policy.setdefault(name, []).append(cost)
                decide_us.setdefault(name, []).append(spent_us)
        costs[f"{kind}/{ratio}"] = {
            name: round(statistics.median(values), 4)
            for name, values in costs_by_policy.items()
        }
    result = {
        "bench": "relay_or_open",
        "groups": groups,
        "capacity": capacity,
        "requests": requests,
        "seeds": seeds,
        "cost_per_request": costs,
        "mean_cost": {
            name: round(statistics.mean(part[name] for part in costs.values()), 4)
            for name in decide_us
        },
        "decide_us": {
            name: round(statistics.median(values), 2)
            for name, values in decide_us.items()
        },
    }
    print(json.dumps(result))


if __name__ == "__main__":
    fire.Fire(run)

"""Cost of the policies that relay a request or open an own connection.

Prints one JSON line. A request through an own connection costs 0, a relayed one
1, and opening a connection ``cost_ratio``: the time of a new connection over
that of a relay's round trip, 10 ms over 2 ms and 30 ms over 1 ms today.
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
    names = [f"g{number}" for number in range(groups)]
    rng.shuffle(names)
    weights = [1 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(groups)]
    while True:
        yield from rng.choices(names, weights, k=1000)


def _drift(rng: random.Random, groups: int) -> Iterator[str]:
    """Popularity changes hands every 5000 requests."""
    while True:
        yield from itertools.islice(_zipf(rng, groups), 5000)


def _uniform(rng: random.Random, groups: int) -> Iterator[str]:
    while True:
        yield f"g{rng.randrange(groups)}"


def _bursts(rng: random.Random, groups: int) -> Iterator[str]:
    """A caller session at a time: runs of one group amid steady traffic."""
    steady = _zipf(rng, groups)
    while True:
        burst = f"g{rng.randrange(groups)}"
        for _ in range(rng.randrange(2, 80)):
            yield burst if rng.random() < 0.7 else next(steady)


def _cycle(rng: random.Random, groups: int) -> Iterator[str]:
    """Each group in turn: the worst order for a least-recent rule."""
    while True:
        yield from (f"g{number}" for number in range(groups))


_SEQUENCES = {
    "zipf": _zipf,
    "drift": _drift,
    "uniform": _uniform,
    "bursts": _bursts,
    "cycle": _cycle,
}


def _policies(ratio: int, capacity: int) -> dict[str, Callable[[], AccessPolicy]]:
    return {
        "always_relay": always_relay,
        "always_open": lambda: always_open(capacity),
        "open_after_ratio": lambda: open_after(ratio, capacity),
        "open_after_2_ratio": lambda: open_after(2 * ratio, capacity),
        "open_after_4_ratio": lambda: open_after(4 * ratio, capacity),
        "retrospective": lambda: retrospective(ratio, capacity),
    }


def _cost(policy: AccessPolicy, requests: list[str], ratio: int) -> int:
    prices = {Access.OWN: 0, Access.RELAY: 1, Access.OPEN: ratio}
    return sum(prices[policy(group)] for group in requests)


def run(
    groups: int = 200, capacity: int = 20, requests: int = 40_000, seeds: int = 5
) -> None:
    """Compare the policies.

    Parameters
    ----------
    groups : int
        Groups that requests go to.
    capacity : int
        Groups that the instance may have connections to.
    requests : int
        Requests of one sequence.
    seeds : int
        Sequences of each kind; the median counts.
    """
    costs: dict[str, dict[str, float]] = {}
    decide_us: dict[str, list[float]] = {}
    for ratio, (kind, make) in itertools.product(_COST_RATIOS, _SEQUENCES.items()):
        found: dict[str, list[float]] = {}
        for seed in range(seeds):
            source = make(random.Random(seed), groups)
            sequence = list(itertools.islice(source, requests))
            for name, make_policy in _policies(ratio, capacity).items():
                begun = time.process_time()
                cost = _cost(make_policy(), sequence, ratio) / requests
                spent_us = (time.process_time() - begun) / requests * 1e6
                found.setdefault(name, []).append(cost)
                decide_us.setdefault(name, []).append(spent_us)
        costs[f"{kind}/{ratio}"] = {
            name: round(statistics.median(values), 4) for name, values in found.items()
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

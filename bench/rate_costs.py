"""Measures the cost of counting operations by the number of organisations.

``python -m bench.rate_costs [--repetitions 5] [--charges 20000]`` prints one JSON line
with times in microseconds, each the median of the repetitions, and the memory of one
organisation in bytes. Each organisation has its home at the measured instance.
"""

import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from statistics import median

import fire
import msgspec

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.rates.rate_bound import RateBound
from goldcrestpond.rates.rate_meter import RateMeter
from goldcrestpond.rates.rate_role import RateRole
from goldcrestpond.serving.organisation import Organisation

_ORGANISATION_COUNTS = (77, 1000, 5000)
_PROOF_LIMIT = timedelta(seconds=2)
_BOUND = RateBound(timedelta(seconds=5), 0.1, 20)
_STEP = timedelta(microseconds=200)


class _SilentLog:
    def decision(self, event: str, **fields: object) -> None:
        """Ignore a log line."""


class _Home:
    """A meter that is home for all organisations, and its time."""

    def __init__(self, count: int, rate_per_s: float):
        self.names = [f"organisation-{index}" for index in range(count)]
        self.now = timedelta(days=1)
        age = timedelta(milliseconds=100)
        self.meter = RateMeter(
            _BOUND, _PROOF_LIMIT, lambda: True, _SilentLog(), lambda: age
        )
        burst = rate_per_s
        limits = {name: Organisation(name, 1, rate_per_s, burst) for name in self.names}
        self.meter.set_limits(limits, self.now)
        self.roles = {name: RateRole(main_share=1) for name in self.names}
        self.meter.set_roles(self.roles, self.now, (1, 1), is_resumed=True)
        self.settle()

    def settle(self) -> None:
        """Wait until all shares have begun."""
        for _ in range(20):
            self.now += _PROOF_LIMIT / 4
            self.meter.observe(self.now)

    def charge(self, count: int) -> int:
        """Charge operations of all organisations in turn; return those admitted."""
        admitted_count = 0
        for index in range(count):
            self.now += _STEP
            name = self.names[index % len(self.names)]
            try:
                self.meter.charge(name, False, self.now)
            except CodedError:
                continue
            admitted_count += 1
        return admitted_count

    def change_roles(self) -> None:
        """Lose and regain all roles, as the members change, and observe it."""
        for roles in ({}, self.roles):
            self.meter.set_roles(roles, self.now, (1, 1))
            self.meter.observe(self.now)

    def set_same_roles(self) -> None:
        """Set the present roles, as most changes of the members do."""
        self.meter.set_roles(self.roles, self.now, (1, 1))
        self.meter.observe(self.now)


def measure(repetitions: int = 5, charges: int = 20000) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    repetitions : int
        Measurements of each size.
    charges : int
        Charged operations of one measurement.
    """
    steps = []
    for count in _ORGANISATION_COUNTS:
        tracemalloc.start()
        home = _Home(count, 1e6)
        home.charge(charges)
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        flooded = _Home(count, 0)
        flooded.charge(charges + 10 * count)
        changes_us = _time_us(home.change_roles, repetitions) / 2
        home.settle()
        unchanged_us = _time_us(home.set_same_roles, repetitions)
        home = _Home(count, 1e6)
        step = {"organisations": count}
        charge_us = _time_us(lambda home=home: home.charge(charges), repetitions)
        step["charge_us"] = round(charge_us / charges, 2)
        refusal_us = _time_us(lambda home=flooded: home.charge(charges), repetitions)
        step["refusal_us"] = round(refusal_us / charges, 2)
        step["change_of_all_roles_us"] = round(changes_us)
        step["unchanged_roles_us"] = round(unchanged_us)
        step["organisation_bytes"] = memory_bytes // count
        steps.append(step)
    print(msgspec.json.encode({"bench": "rate_costs", "steps": steps}).decode())


def _time_us(run: Callable[[], object], repetitions: int) -> float:
    times_us = []
    for _ in range(repetitions):
        began_at = time.perf_counter()
        run()
        times_us.append((time.perf_counter() - began_at) * 1e6)
    return median(times_us)


if __name__ == "__main__":
    fire.Fire(measure)

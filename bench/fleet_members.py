"""Cost of a pure member as the fleet grows, and the times that it needs.

``python -m bench.fleet_members [--sizes 50,100,200]`` prints one JSON line. All
members run in one process over fake links; bytes are those of the encoded and
sealed messages with IP and UDP headers. Slopes are fitted by least squares.
"""

import statistics

import fire
import msgspec

from goldcrestpond.configuration.revision_count import count_in_force
from goldcrestpond.peer.codec import encode_message

from .fleet_loop import FleetLoop

_HEADERS_BYTES = 28 + 16  # IPv4 and UDP headers, and the seal's tag
_JOIN_LIMIT_S = 120
_LIMIT_S = 30
_CHANGES_PER_S = 28_000 / 86_400
# Stops and replacements of instances a day in the planned fleet.
_STOPS_PER_S = (58 + 4700) / 86_400
_SETTLE_LIMIT_S = 300
_STEP_S = 0.5
_VALUE = b"x" * 300


def measure(
    sizes: tuple[int, ...] = (50, 100, 200),
    target: int = 5800,
    duration_s: float = 60.0,
    seed: int = 1,
) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    sizes : tuple of int
        Members of the measured fleets.
    target : int
        Size to extrapolate to.
    duration_s : float
        Simulated time of each load.
    seed : int
        Seed of all randomness.
    """
    steps = [_measure_size(size, duration_s, seed) for size in sizes]
    loads = {name: [step[name] for step in steps] for name in ("idle", "planned")}
    slopes = {
        f"{load}.{figure}": _fit(sizes, [row[figure] for row in rows], target)
        for load, rows in loads.items()
        for figure in rows[0]
    }
    report = {
        "bench": "fleet_members",
        "sizes": sizes,
        "target": target,
        "steps": steps,
        "fits": slopes,
    }
    print(msgspec.json.encode(report).decode())


def _measure_size(size: int, duration_s: float, seed: int) -> dict:
    fleet = FleetLoop(seed)
    fleet.size_of = lambda message: len(encode_message(message)) + _HEADERS_BYTES
    fleet.write("first", _VALUE)
    for _ in range(size):
        fleet.start()
    joined_s = fleet.run_until(fleet.agreed, _JOIN_LIMIT_S)
    fleet.run_until(lambda: _is_settled(fleet), _SETTLE_LIMIT_S)
    idle = _measure_load(fleet, duration_s, 0, 0)
    planned = _measure_load(fleet, duration_s, _CHANGES_PER_S, _STOPS_PER_S)
    times = _measure_times(fleet)
    return {
        "size": size,
        "joined_s": round(joined_s, 2),
        "idle": idle,
        "planned": planned,
        **times,
    }


def _is_settled(fleet: FleetLoop) -> bool:
    """Return True once the updates of the common start are all passed on."""
    return not any(m.pending_update_count for m in fleet.members.values())


def _measure_load(
    fleet: FleetLoop, duration_s: float, changes_per_s: float, stops_per_s: float
) -> dict:
    """Run with a rate of changes and of replaced instances of the whole fleet."""
    fleet.messages.clear()
    fleet.kinds.clear()
    fleet.bytes.clear()
    busy_s, size = fleet.busy_s, len(fleet.members)
    changes = stops = 0
    begun = fleet.now
    while (passed_s := (fleet.now - begun).total_seconds()) < duration_s:
        if changes < passed_s * changes_per_s:
            changes += 1
            fleet.write(f"row-{changes}", _VALUE)
        if stops < passed_s * stops_per_s:
            stops += 1
            fleet.kill(fleet.rng.choice(list(fleet.members)))
            fleet.start()
        fleet.run(_STEP_S)
    return {
        "sent_per_s": round(sum(fleet.messages.values()) / passed_s / size, 3),
        "reports_per_s": round(fleet.kinds["ForceReport"] / passed_s / size, 3),
        "claims_per_s": round(fleet.kinds["ForceClaim"] / passed_s / size, 3),
        "sent_per_s_max": round(max(fleet.messages.values()) / passed_s, 3),
        "sent_bytes_per_s": round(sum(fleet.bytes.values()) / passed_s / size, 1),
        "sent_bytes_per_s_max": round(max(fleet.bytes.values()) / passed_s, 1),
        "decision_us_per_s": round((fleet.busy_s - busy_s) / passed_s / size * 1e6, 1),
    }


def _measure_times(fleet: FleetLoop) -> dict:
    applied, told, dead = [], [], []
    for number in range(8):
        revision = fleet.write(f"timed-{number}", _VALUE)
        applied.append(
            fleet.run_until(lambda r=revision: fleet.lowest_revision() >= r, _LIMIT_S)
        )
        told.append(
            applied[-1] + fleet.run_until(lambda r=revision: _told(fleet, r), _LIMIT_S)
        )
        gone = fleet.kill(fleet.rng.choice(list(fleet.members)))
        dead.append(fleet.run_until(lambda g=gone: fleet.known_dead(g), _LIMIT_S))
        fleet.start()
        fleet.run_until(fleet.agreed, _LIMIT_S)
    return {
        "applied_s": _spread(applied),
        "told_in_force_s": _spread(told),
        "dead_known_s": _spread(dead),
    }


def _told(fleet: FleetLoop, revision: int) -> bool:
    size = len(fleet.members)
    return all(
        count_in_force(part.in_force(fleet.now), revision) == (size, size)
        for part in fleet.distributions.values()
    )


def _spread(values: list[float]) -> dict:
    return {
        "median": round(statistics.median(values), 2),
        "max": round(max(values), 2),
    }


def _fit(sizes: tuple[int, ...], values: list[float], target: int) -> dict:
    slope, base = statistics.linear_regression(sizes, values)
    return {
        "base": round(base, 3),
        "per_member": round(slope, 6),
        "at_target": round(base + slope * target, 2),
    }


if __name__ == "__main__":
    fire.Fire(measure)

"""Measures how a member's cost and the propagation times grow with the fleet.

``python -m bench.fleet_members [--sizes 50,100,200]`` prints one JSON line. All
members run in one process over a simulated network, without I/O. Bytes are those of
the encoded messages with their authentication tag and IP and UDP headers. Slopes are
fitted by least squares.
"""

import statistics

import fire
import msgspec

from goldcrestpond.configuration.revision_count import count_in_force
from goldcrestpond.peer.codec import encode_message

from .fleet_loop import FleetLoop

_HEADERS_BYTES = 28 + 16  # IPv4 and UDP headers; authentication tag
_JOIN_TIMEOUT_S = 120
_PROPAGATION_TIMEOUT_S = 30
_CHANGES_PER_S = 28_000 / 86_400
# Instances that stop and are replaced in a day of the planned fleet.
_STOPS_PER_S = (58 + 4700) / 86_400
_SETTLE_TIMEOUT_S = 300
_STEP_S = 0.5
_ROW_VALUE = b"x" * 300


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
        Numbers of members of the measured fleets.
    target : int
        Number of members to which the figures are extrapolated.
    duration_s : float
        Simulated time for which each load runs.
    seed : int
        Seed of all randomness.
    """
    steps = [_measure_size(size, duration_s, seed) for size in sizes]
    loads = {name: [step[name] for step in steps] for name in ("idle", "planned")}
    slopes = {
        f"{load}.{figure}": _fit_line(sizes, [row[figure] for row in rows], target)
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
    fleet.write("first", _ROW_VALUE)
    for _ in range(size):
        fleet.start()
    joined_s = fleet.run_until(fleet.agreed, _JOIN_TIMEOUT_S)
    fleet.run_until(lambda: _is_settled(fleet), _SETTLE_TIMEOUT_S)
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
    """Return True if no member has membership updates left to pass on."""
    return not any(m.pending_update_count for m in fleet.members.values())


def _measure_load(
    fleet: FleetLoop, duration_s: float, changes_per_s: float, stops_per_s: float
) -> dict:
    """Measure under a rate of changes and of replaced instances of the whole fleet."""
    fleet.messages.clear()
    fleet.kinds.clear()
    fleet.bytes.clear()
    busy_s, size = fleet.busy_s, len(fleet.members)
    changes = stops = 0
    started = fleet.now
    while (elapsed_s := (fleet.now - started).total_seconds()) < duration_s:
        if changes < elapsed_s * changes_per_s:
            changes += 1
            fleet.write(f"row-{changes}", _ROW_VALUE)
        if stops < elapsed_s * stops_per_s:
            stops += 1
            fleet.kill(fleet.rng.choice(list(fleet.members)))
            fleet.start()
        fleet.run(_STEP_S)
    return {
        "sent_per_s": round(sum(fleet.messages.values()) / elapsed_s / size, 3),
        "reports_per_s": round(fleet.kinds["ForceReport"] / elapsed_s / size, 3),
        "claims_per_s": round(fleet.kinds["ForceClaim"] / elapsed_s / size, 3),
        "sent_per_s_max": round(max(fleet.messages.values()) / elapsed_s, 3),
        "sent_bytes_per_s": round(sum(fleet.bytes.values()) / elapsed_s / size, 1),
        "sent_bytes_per_s_max": round(max(fleet.bytes.values()) / elapsed_s, 1),
        "decision_us_per_s": round((fleet.busy_s - busy_s) / elapsed_s / size * 1e6, 1),
    }


def _measure_times(fleet: FleetLoop) -> dict:
    applied_s, confirmed_s, dead_known_s = [], [], []
    for number in range(8):
        revision = fleet.write(f"timed-{number}", _ROW_VALUE)
        applied_s.append(
            fleet.run_until(
                lambda r=revision: fleet.lowest_revision() >= r, _PROPAGATION_TIMEOUT_S
            )
        )
        confirmed_s.append(
            applied_s[-1]
            + fleet.run_until(
                lambda r=revision: _is_in_force(fleet, r), _PROPAGATION_TIMEOUT_S
            )
        )
        instance_id = fleet.kill(fleet.rng.choice(list(fleet.members)))
        dead_known_s.append(
            fleet.run_until(
                lambda i=instance_id: fleet.known_dead(i), _PROPAGATION_TIMEOUT_S
            )
        )
        fleet.start()
        fleet.run_until(fleet.agreed, _PROPAGATION_TIMEOUT_S)
    return {
        "applied_s": _summarize(applied_s),
        "told_in_force_s": _summarize(confirmed_s),
        "dead_known_s": _summarize(dead_known_s),
    }


def _is_in_force(fleet: FleetLoop, revision: int) -> bool:
    """Return True if each member counts the revision as in force on all members."""
    size = len(fleet.members)
    return all(
        count_in_force(part.in_force(fleet.now), revision) == (size, size)
        for part in fleet.distributions.values()
    )


def _summarize(values: list[float]) -> dict:
    return {
        "median": round(statistics.median(values), 2),
        "max": round(max(values), 2),
    }


def _fit_line(sizes: tuple[int, ...], values: list[float], target: int) -> dict:
    slope, base = statistics.linear_regression(sizes, values)
    return {
        "base": round(base, 3),
        "per_member": round(slope, 6),
        "at_target": round(base + slope * target, 2),
    }


if __name__ == "__main__":
    fire.Fire(measure)

"""Measures costs of the control plane at the planned size of the fleet.

``python -m bench.control_costs`` prints one JSON line with the costs of placing
groups over all instances, of holding the whole configuration in one process, and
of merging events into a time line.
"""

import random
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import fire
import msgspec

from goldcrestpond.configuration.configuration_builder import ConfigurationBuilder
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.configuration_delta import ConfigurationDelta
from goldcrestpond.configuration.configuration_state import ConfigurationState
from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.configuration.database_spec import DatabaseSpec
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.route_spec import RouteSpec
from goldcrestpond.configuration.stored_resource import encode_resource_row
from goldcrestpond.events.event import Event
from goldcrestpond.placement.candidate import Candidate
from goldcrestpond.placement.holder_table import HolderTable
from goldcrestpond.timeline.causal_order import order_records
from goldcrestpond.timeline.read_records import read_records

_HOLDER_COUNT = 6
_ZONES = 22
_CHANGE_COUNT = 20
_SAMPLE_COUNT = 50


def measure(
    instances: int = 5800,
    groups: int = 4667,
    routes: int = 14_000,
    events: int = 50_000,
) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    instances : int
        Live instances.
    groups : int
        Database groups of three databases each.
    routes : int
        Routes.
    events : int
        Events that the time line is merged from.
    """
    report = {
        "bench": "control_costs",
        "placement": _measure_placement(instances, groups),
        "configuration": _measure_configuration(groups, routes),
        "timeline": _measure_timeline(events),
    }
    print(msgspec.json.encode(report).decode())


def _measure_placement(instances: int, groups: int) -> dict:
    table = HolderTable(_HOLDER_COUNT)
    for number in range(instances):
        table.add(Candidate(f"proxy-{number:05}", f"zone-{number % _ZONES}"))
    choose_s = _measure_cpu_s(
        lambda: [
            table.holders(f"group-{n}", ("zone-1", "zone-2"))
            for n in range(_SAMPLE_COUNT)
        ]
    )
    # Every group gets the same holders, since only the cost of one more instance
    # is measured here, not the choice of the holders.
    for number in range(groups):
        table._holders[f"group-{number}"] = table.holders("group-0")
        table._availability_zones[f"group-{number}"] = ()
    join_s = _measure_cpu_s(lambda: table.add(Candidate("newcomer", "zone-3")))
    return {
        "choose_us": round(choose_s / _SAMPLE_COUNT * 1e6, 1),
        "join_ms_at_all_groups": round(join_s * 1000, 2),
    }


def _measure_configuration(groups: int, routes: int) -> dict:
    rows = [_make_group_row(n) for n in range(groups)]
    rows += [_make_route_row(n, groups + n, groups) for n in range(routes)]
    rows = [msgspec.structs.replace(row, revision=n + 1) for n, row in enumerate(rows)]
    tracemalloc.start()
    state = ConfigurationState(timedelta(0), random.Random(1))
    builder = ConfigurationBuilder()
    state.apply(ConfigurationDelta(0, len(rows), rows))
    builder.build(state.revision, state.rows.values())
    decoded_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def change_rows() -> None:
        for number in range(_CHANGE_COUNT):
            row = _make_route_row(number, state.revision + 1, groups)
            state.apply(ConfigurationDelta(state.revision, row.revision, [row]))
            builder.build(state.revision, state.rows.values())

    return {
        "rows": len(rows),
        "value_bytes": sum(len(row.key) + len(row.value) for row in rows),
        "held_bytes": decoded_bytes,
        "change_ms": round(_measure_cpu_s(change_rows) / _CHANGE_COUNT * 1000, 2),
    }


def _make_group_row(number: int) -> ConfigurationChange:
    name = f"group-{number}"
    databases = [
        DatabaseSpec(f"{name}-{n}", f"10.9.{n}.1:5432", f"zone-{n}") for n in range(3)
    ]
    spec = DatabaseGroupSpec(databases=databases, user="goldcrestpond")
    key = resource_key(Kind.DATABASE_GROUP, name)
    return ConfigurationChange(key, 0, encode_resource_row(spec, 1))


def _make_route_row(number: int, revision: int, groups: int) -> ConfigurationChange:
    spec = RouteSpec(f"database-{number}", f"group-{number % groups}")
    key = resource_key(Kind.ROUTE, f"route-{number}")
    return ConfigurationChange(key, revision, encode_resource_row(spec, revision))


def _measure_timeline(events: int) -> dict:
    rng = random.Random(1)
    first_time = datetime(2026, 1, 1, tzinfo=UTC)
    lines = [
        msgspec.json.encode(
            Event(
                first_time + timedelta(milliseconds=number + rng.randrange(1000)),
                f"proxy-{number % 100}",
                "term",
                "promoted",
                number // 100 + 1,
                group="fuel",
                after=f"proxy-{(number - 1) % 100}:{(number - 1) // 100 + 1}",
            )
        )
        for number in range(events)
    ]
    tracemalloc.start()
    ordered = order_records(read_records(lines)[0])
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    merge_s = _measure_cpu_s(lambda: order_records(read_records(lines)[0]))
    return {
        "events": len(ordered),
        "us_per_event": round(merge_s / events * 1e6, 2),
        "peak_bytes_per_event": round(peak_bytes / events),
    }


def _measure_cpu_s(function: Callable[[], object]) -> float:
    started = time.process_time()
    function()
    return time.process_time() - started


if __name__ == "__main__":
    fire.Fire(measure)

"""Measures the cost of a configuration in one instance by its number of groups.

``python -m bench.configuration_cost`` prints one JSON line. For each number of
groups, each with one route, it gives the memory of the state and of the decoded
resources, and the processor time to apply the whole configuration and to apply one
change.
"""

import json
import random
import time
import tracemalloc
from datetime import timedelta

import fire

from goldcrestpond.configuration.configuration_builder import ConfigurationBuilder
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.configuration_delta import ConfigurationDelta
from goldcrestpond.configuration.configuration_snapshot import ConfigurationSnapshot
from goldcrestpond.configuration.configuration_state import ConfigurationState
from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.configuration.database_spec import DatabaseSpec
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.resource import Spec
from goldcrestpond.configuration.route_spec import RouteSpec
from goldcrestpond.configuration.stored_resource import encode_resource_row

_CHANGE_COUNT = 50


def measure(group_counts: tuple[int, ...] = (500, 1000, 2000, 4000)) -> None:
    """Measure each number of groups and print one JSON line.

    Parameters
    ----------
    group_counts : tuple of int
        Numbers of groups to measure.
    """
    print(json.dumps([_measure_size(count) for count in group_counts]))


def _measure_size(group_count: int) -> dict[str, float]:
    changes = _make_changes(group_count)
    snapshot = ConfigurationSnapshot(len(changes), changes)
    apply_all_ms, _, _ = _apply_all(snapshot)
    tracemalloc.start()
    _, state, builder = _apply_all(snapshot)
    decoded_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    row_bytes = sum(len(change.value) + len(change.key) for change in changes)
    return {
        "groups": group_count,
        "resources": len(changes),
        "take_all_ms": round(apply_all_ms, 2),
        "take_one_change_ms": round(_measure_one_change_ms(state, builder), 3),
        "decoded_kib_per_resource": round(decoded_bytes / 1024 / len(changes), 3),
        "row_kib_per_resource": round(row_bytes / 1024 / len(changes), 3),
    }


def _apply_all(
    snapshot: ConfigurationSnapshot,
) -> tuple[float, ConfigurationState, ConfigurationBuilder]:
    started = time.process_time()
    state = ConfigurationState(timedelta(0), random.Random(1))
    builder = ConfigurationBuilder()
    state.apply(snapshot)
    builder.build(state.revision, state.rows.values())
    return (time.process_time() - started) * 1000, state, builder


def _measure_one_change_ms(
    state: ConfigurationState, builder: ConfigurationBuilder
) -> float:
    started = time.process_time()
    for number in range(_CHANGE_COUNT):
        revision = state.revision + 1
        change = _make_change(Kind.ROUTE, "r0", _make_route(number), revision)
        state.apply(ConfigurationDelta(revision - 1, revision, [change]))
        builder.build(state.revision, state.rows.values())
    return (time.process_time() - started) * 1000 / _CHANGE_COUNT


def _make_changes(group_count: int) -> list[ConfigurationChange]:
    changes = []
    for number in range(group_count):
        group = _make_group(number)
        changes.append(_make_change(Kind.DATABASE_GROUP, f"g{number}", group, 0))
        changes.append(_make_change(Kind.ROUTE, f"r{number}", _make_route(number), 0))
    return [
        ConfigurationChange(change.key, revision, change.value)
        for revision, change in enumerate(changes, start=1)
    ]


def _make_group(number: int) -> DatabaseGroupSpec:
    databases = [
        DatabaseSpec(f"g{number}-{index}", f"10.{number % 250}.{index}.1:5432", "west")
        for index in range(3)
    ]
    return DatabaseGroupSpec(databases, "goldcrestpond", "secret")


def _make_route(number: int) -> RouteSpec:
    return RouteSpec(f"database-{number}", f"g{number}", queue_timeout_ms=number)


def _make_change(
    kind: Kind, name: str, spec: Spec, revision: int
) -> ConfigurationChange:
    return ConfigurationChange(
        resource_key(kind, name), revision, encode_resource_row(spec, 1)
    )


if __name__ == "__main__":
    fire.Fire(measure)

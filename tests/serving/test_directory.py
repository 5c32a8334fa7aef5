"""Tests that holders do not depend on the order in which tables are read."""

import itertools
import random
from dataclasses import replace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.relay.holders import Holders
from goldcrestpond.serving.directory import Directory
from goldcrestpond.serving.members import Member
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.route_table import RouteTable, ServiceLimits
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.settings.address import Address
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from .test_leadership import database, ms

_ZONES = ("z1", "z2", "z3")
_NAMES = [f"i{number}" for number in range(60)]
_MEMBERS = [
    Member(name, _ZONES[number % 3], Address("127.0.0.1", 1 + number))
    for number, name in enumerate(_NAMES)
]
_TABLE = RouteTable(1, {}, {"s": ServiceLimits(48, 1)})
_DATABASES = [
    replace(database(f"d{number}"), availability_zone=zone)
    for number, zone in enumerate(_ZONES)
]


_ORDERS = list(itertools.permutations(["members", "table", "databases", "request"]))


async def _no_link(database):
    raise AssertionError("this test opens no connections")


def _directory(name, tasks):
    clock = SystemClock()
    tasks = SupervisedTasks(tasks)
    return Directory(
        ServingSettings(name, "z1"),
        _no_link,
        clock,
        random.Random(1),
        ListLog(),
        Metrics(),
        tasks,
        Holders(name, clock, tasks, ListLog()),
    )


def _list_databases(directory, databases):
    for listed in databases:
        directory.registry.put(listed, ms(0))
    directory.apply_registry()


@pytest.mark.parametrize("known_first", [0, 1, 2, 3])
def test_instances_agree_on_holders_if_some_know_few_databases_first(known_first):
    """Start of a large fleet: the members are known before all databases are."""

    async def body():
        held_by = {}
        async with anyio.create_task_group() as tasks:
            for number, name in enumerate(_NAMES):
                directory = _directory(name, tasks)
                first = known_first if number % 2 else 3
                _list_databases(directory, _DATABASES[:first])
                directory.set_members(_MEMBERS)
                directory.apply_table(_TABLE)
                _list_databases(directory, _DATABASES)
                held_by[name] = directory.holds("s")
                names = directory.holder_names("s")
                held_by.setdefault("", names)
                assert_that(sorted(names), Equals(sorted(held_by[""])))
            tasks.cancel_scope.cancel()
        holders = held_by.pop("")
        assert_that(sorted(n for n in held_by if held_by[n]), Equals(sorted(holders)))

    anyio.run(body)


@pytest.mark.parametrize("order", _ORDERS, ids="-".join)
def test_service_is_held_for_any_order_of_updates(order):
    """Start while the store fails at times: its tables are read in any order."""

    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i1", tasks)
            steps = {
                "members": lambda: directory.set_members(_MEMBERS[1:2]),
                "table": lambda: directory.apply_table(_TABLE),
                "databases": lambda: _list_databases(directory, _DATABASES),
                "request": lambda: directory.service("s"),  # a caller's statement
            }
            for step in order:
                steps[step]()
            assert_that(directory.holds("s"), Equals(True))
            tasks.cancel_scope.cancel()

    anyio.run(body)


# Guards against: openers that take no organisation fail where there is none.
@pytest.mark.anyio
async def test_opener_is_told_the_organisation_only_if_there_is_one():
    calls = []

    async def open_link(*arguments):
        calls.append(arguments)

    async with anyio.create_task_group() as tasks:
        directory = _directory("i1", tasks)
        directory._open_link = open_link
        await directory._open_in_time(_DATABASES[0])
        await directory._open_in_time(_DATABASES[0], "a")
    assert_that(calls, Equals([(_DATABASES[0],), (_DATABASES[0], "a")]))

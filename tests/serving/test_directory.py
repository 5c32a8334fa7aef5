"""Tests that holders do not depend on the order in which tables are read."""

import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace
from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.endpoint.pool_gauges import read_pool_gauges
from goldcrestpond.relay.holders import Holders
from goldcrestpond.serving import directory as directory_module
from goldcrestpond.serving.connection_share import (
    RESTART_RESERVE_FRACTION,
    connection_share,
    restart_share,
)
from goldcrestpond.serving.directory import Directory
from goldcrestpond.serving.fleet_protocol import PROTOCOL
from goldcrestpond.serving.members import Member
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.organisation import Organisation
from goldcrestpond.serving.route_table import RouteTable, ServiceLimits
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.settings.address import Address
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from ..relay.fake_meter import FakeMeter
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


@pytest.fixture(autouse=True)
def no_restart(monkeypatch):
    """Let shares grow as if the processes had run for long."""
    monkeypatch.setattr(directory_module, "RESTART_SPAN", ms(0))


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


@dataclass(frozen=True, slots=True)
class _OrganisationTable(RouteTable):
    organisations: object = None


def _organisation_table(version, rates):
    organisations = {name: Organisation(name, 1, r, 5) for name, r in rates.items()}
    return _OrganisationTable(
        version,
        {},
        {"s": ServiceLimits(48, 1)},
        organisations=SimpleNamespace(by_name=organisations),
    )


def _shares(directory):
    return [
        served.pool._local_pool._decisions._limit._share
        for served in directory.services["s"].databases.values()
    ]


# Failure: a large organisation moves to a holder that takes its connections while the
# former home still has them open; the database refuses.
def test_share_that_grows_is_taken_after_those_that_fall(monkeypatch):
    async def body():
        async with anyio.create_task_group() as tasks:
            directories = {m.name: _directory(m.name, tasks) for m in _MEMBERS[:3]}
            even = {f"o{n}": 5.0 for n in range(30)}
            for directory in directories.values():
                _list_databases(directory, _DATABASES)
                directory.set_members(_MEMBERS[:3])
                directory.apply_table(_organisation_table(1, even))
            await anyio.sleep(0.1)
            before = {name: _shares(d)[0] for name, d in directories.items()}
            total = 48 * (1 - RESTART_RESERVE_FRACTION) - 3
            assert_that(sum(before.values()), Equals(total))
            uneven = even | {"o1": 60.0, "o2": 40.0}
            for directory in directories.values():
                directory.apply_table(_organisation_table(2, uneven))
            during = {name: _shares(d)[0] for name, d in directories.items()}
            assert_that(all(during[n] <= before[n] for n in before), Equals(True))
            await anyio.sleep(0.1)
            after = {name: _shares(d)[0] for name, d in directories.items()}
            assert_that(sum(after.values()), Equals(total))
            assert_that(any(after[n] > before[n] for n in before), Equals(True))
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(directory_module, "SHARE_GROWTH_DELAY", ms(20))
    anyio.run(body)


# Failure: a database that restarts while a share waits to grow keeps the least share.
def test_share_grows_if_the_database_is_listed_anew_meanwhile(monkeypatch):
    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i0", tasks)
            directory.set_members(_MEMBERS[:3])
            directory.apply_table(_organisation_table(1, {"a": 5.0}))
            _list_databases(directory, _DATABASES[:1])
            first = directory.services["s"].databases["d0"]
            restarted = replace(_DATABASES[0], started_at_ms=99)
            _list_databases(directory, [restarted])
            assert_that(directory.services["s"].databases["d0"] is first, Equals(False))
            assert_that(_shares(directory), Equals([1]))
            await anyio.sleep(0.1)
            assert_that(_shares(directory)[0] > 1, Equals(True))
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(directory_module, "SHARE_GROWTH_DELAY", ms(20))
    anyio.run(body)


# Failure: all holders lose power and open their whole shares at once, while databases
# still count the lost connections: the first one takes all that is left, and the others
# have none for half a second and more.
def test_all_holders_that_restart_begin_with_what_is_left_for_restarts(monkeypatch):
    async def body():
        async with anyio.create_task_group() as tasks:
            directories = {m.name: _directory(m.name, tasks) for m in _MEMBERS[:3]}
            for directory in directories.values():
                _list_databases(directory, _DATABASES)
                directory.set_members(_MEMBERS[:3])
                directory.apply_table(_organisation_table(1, {"a": 5.0, "b": 5.0}))
            begun = [_shares(directory)[0] for directory in directories.values()]
            assert_that(begun, Equals([restart_share(48, 3)] * 3))
            assert_that(sum(begun) <= 48 * RESTART_RESERVE_FRACTION, Equals(True))
            await anyio.sleep(0.25)
            grown = [_shares(directory)[0] for directory in directories.values()]
            assert_that(sum(grown) > sum(begun), Equals(True))
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(directory_module, "SHARE_GROWTH_DELAY", ms(20))
    monkeypatch.setattr(directory_module, "RESTART_SPAN", ms(150))
    anyio.run(body)


# Failure: a share never grows while the configuration changes often.
def test_changes_that_leave_the_target_do_not_put_off_the_growth(monkeypatch):
    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i0", tasks)
            _list_databases(directory, _DATABASES[:1])
            directory.set_members(_MEMBERS[:3])
            for version in range(1, 21):
                directory.apply_table(_organisation_table(version, {"a": 5.0}))
                await anyio.sleep(0.01)
            assert_that(_shares(directory)[0] > 1, Equals(True))
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(directory_module, "SHARE_GROWTH_DELAY", ms(100))
    anyio.run(body)


# Failure: a share that fell and is to grow again takes connections that other holders
# were only just told to close.
def test_growth_that_was_called_off_begins_its_delay_again(monkeypatch):
    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i0", tasks)
            _list_databases(directory, _DATABASES[:1])
            directory.set_members(_MEMBERS[:3])
            directory.apply_table(_organisation_table(1, {"a": 5.0}))
            first_due_at = directory._growth_due_at["d0"]
            await anyio.sleep(0.05)
            directory._schedule_growth("d0", None)
            directory.apply_table(_organisation_table(2, {"a": 5.0}))
            later_by = directory._growth_due_at["d0"] - first_due_at
            assert_that(later_by >= ms(50), Equals(True))
            await anyio.sleep(0.2)
            assert_that(_shares(directory)[0] > 1, Equals(True))
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(directory_module, "SHARE_GROWTH_DELAY", ms(100))
    anyio.run(body)


# Failure: an instance that the members' table does not list, since it is new or was cut
# off for long, spends rates that the others divide among themselves.
def test_instance_that_is_not_listed_is_home_only_if_it_knows_no_other():
    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i0", tasks)
            meter = directory.admission.meter = FakeMeter()
            directory.apply_table(_organisation_table(1, {"a": 5.0, "b": 5.0}))
            directory.set_members(_MEMBERS[:1], is_listed=False)
            assert_that(directory.homes.home_names(), Equals({"i0"}))
            assert_that(meter.roles, Equals({}))
            directory.set_members(_MEMBERS[:3], is_listed=False)
            assert_that(directory.homes.home_names(), Equals({"i1", "i2"}))
            directory.set_members(_MEMBERS[:3], is_listed=True)
            assert_that("i0" in directory.homes.home_names(), Equals(True))
            assert_that(len(meter.roles) > 0, Equals(True))
            directory.set_members(_MEMBERS[:3], is_listed=False)
            assert_that(meter.roles, Equals({}))
            assert_that(len(meter.released) > 0, Equals(True))
            tasks.cancel_scope.cancel()

    anyio.run(body)


# Failure: a few instances do the work of all services, while the others have nothing to
# do; on a small fleet they are too busy to answer.
def test_services_are_held_by_different_members_and_each_organisation_has_one_meter():
    services = {f"s{n}": ServiceLimits(26 + n, 1) for n in range(4)}
    members = [replace(member, protocol=PROTOCOL) for member in _MEMBERS]

    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i1", tasks)
            directory.set_members(members)
            table = _organisation_table(1, {f"o{n}": 5.0 for n in range(72)})
            directory.apply_table(replace(table, services=services))
            placed = directory._name_holders()
            held = Counter(name for names in placed.values() for name in names)
            assert_that((len(held), max(held.values())), Equals((12, 1)))
            meters = {directory.homes.meters(f"o{n}").homes for n in range(72)}
            assert_that(len(meters) > 6, Equals(True))
            # An earlier program joins: all go back to the rules that it knows.
            directory.set_members([*members[:-1], _MEMBERS[-1]])
            placed = set(map(tuple, directory._name_holders().values()))
            assert_that(placed, HasLength(1))
            tasks.cancel_scope.cancel()

    anyio.run(body)


# Failure: two releases run side by side; the former one divides an organisation's rate
# among its homes at all services, so that all must have the same.
def test_services_have_the_same_homes_while_a_member_knows_only_the_first_protocol():
    services = {f"s{n}": ServiceLimits(26 + n, 1) for n in range(4)}

    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i1", tasks)
            directory.set_members(_MEMBERS)
            table = _organisation_table(1, {f"o{n}": 5.0 for n in range(72)})
            directory.apply_table(replace(table, services=services))
            holders = {n: sorted(directory._name_holders()[n]) for n in services}
            assert_that(set(map(len, holders.values())), Equals({3}))
            for name in services:
                directory.service(name)
                assert_that(sorted(directory.holder_names(name)), Equals(holders["s0"]))
            for n in range(72):
                homes = directory.homes.homes("s1", f"o{n}")
                assert_that(homes.homes, HasLength(1))
                assert_that(directory.homes.meters(f"o{n}"), Equals(homes))
            directory.apply_table(RouteTable(2, {}, services))
            held = {tuple(sorted(directory.holder_names(n))) for n in services}
            assert_that(len(held) > 1, Equals(True))
            tasks.cancel_scope.cancel()

    anyio.run(body)


def test_deployment_without_organisations_shares_evenly_at_once():
    async def body():
        async with anyio.create_task_group() as tasks:
            directory = _directory("i1", tasks)
            _list_databases(directory, _DATABASES)
            directory.set_members(_MEMBERS[:3])
            directory.apply_table(_TABLE)
            assert_that(_shares(directory), Equals([connection_share(48, 3)] * 3))
            tasks.cancel_scope.cancel()

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


# Failure: after a loss of power of the whole fleet, each home waits as if another one
# still spent its shares, and all organisations are refused meanwhile.
@pytest.mark.anyio
@pytest.mark.parametrize(
    ("absent", "is_listed", "is_resumed"),
    [((), True, True), ((), False, False), (("i1",), True, False)],
)
async def test_shares_are_resumed_by_a_process_that_is_listed_at_its_start(
    absent, is_listed, is_resumed
):
    async with anyio.create_task_group() as tasks:
        directory = _directory("i1", tasks)
        meter = directory.admission.meter = FakeMeter()
        others = _MEMBERS[:4]
        directory.set_members(others, frozenset(absent), is_listed)
        directory.set_members(others, frozenset(), True)
        directory.apply_table(_organisation_table(1, {"mill": 10}))
        assert_that(meter.is_resumed, Equals(is_resumed))
        tasks.cancel_scope.cancel()


# Failure: the counts of the rates and of the pools exist, but no metric shows them.
@pytest.mark.anyio
async def test_gauges_show_the_rates_and_the_pools():
    async with anyio.create_task_group() as tasks:
        directory = _directory("i1", tasks)
        _list_databases(directory, _DATABASES[:1])
        assert_that(directory.gauges(), Not(Contains("rate_refused")))
        directory.admission.meter = FakeMeter()
        directory.admission.meter.exceeded = {"mill"}
        gauges = directory.gauges()
        assert_that(gauges["rate_refused"], Equals(1))
        [pool] = [served.pool for served in directory.services["s"].databases.values()]
        database_id = _DATABASES[0].database_id
        shown = read_pool_gauges(pool.local_pool, "s", database_id)
        assert_that(shown, Not(Equals({})))
        assert_that({name: gauges[name] for name in shown}, Equals(shown))
        tasks.cancel_scope.cancel()


_RESUMED = "shares resumed"


# Failure: organisations are configured long after the start: homes have changed since,
# which still spend their shares.
@pytest.mark.anyio
@pytest.mark.parametrize(
    "change",
    [
        (_MEMBERS[:3], frozenset(), True),
        (_MEMBERS[:4], frozenset({"i2"}), True),
        (_MEMBERS[:4], frozenset(), False),
    ],
)
async def test_shares_are_not_resumed_after_a_change_of_the_members(change):
    async with anyio.create_task_group() as tasks:
        directory = _directory("i1", tasks)
        meter = directory.admission.meter = FakeMeter()
        start = (_MEMBERS[:4], frozenset(), True)
        for status in (start, change, start):
            directory.set_members(*status)
        directory.apply_table(_organisation_table(1, {"mill": 10}))
        assert_that(meter.is_resumed, Equals(False))
        assert_that(_events(directory, _RESUMED), HasLength(0))
        tasks.cancel_scope.cancel()


# Failure: the configuration is read before the members, and the empty roles of then
# count as those of the start.
@pytest.mark.anyio
@pytest.mark.parametrize("is_table_first", [False, True])
async def test_shares_are_resumed_once_whichever_table_is_read_first(is_table_first):
    async with anyio.create_task_group() as tasks:
        directory = _directory("i1", tasks)
        meter = directory.admission.meter = FakeMeter()
        steps = [
            lambda: directory.set_members(_MEMBERS[:4]),
            lambda: directory.apply_table(_organisation_table(1, {"mill": 10})),
        ]
        for step in reversed(steps) if is_table_first else steps:
            step()
        assert_that((meter.set_count, meter.is_resumed), Equals((1, True)))
        [line] = _events(directory, _RESUMED)
        assert_that((line["members"], line["version"]), Equals((4, (0, 0, 1))))
        directory.apply_table(_organisation_table(2, {"mill": 10, "dam": 5}))
        assert_that((meter.set_count, meter.is_resumed), Equals((2, False)))
        assert_that(_events(directory, _RESUMED), HasLength(1))
        tasks.cancel_scope.cancel()


def _events(directory, event):
    return [fields for name, fields in directory.log.lines if name == event]

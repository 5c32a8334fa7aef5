"""Rows of the store that cannot be decoded."""

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.platform.line_codec import decode_report
from goldcrestpond.serving.members import TABLE as MEMBERS
from goldcrestpond.standin.line_bodies import (
    make_configuration_body,
    make_registry_entry,
)

from ..line_world import SERVICE, run_in_world

REREAD_S = 2.3  # each table is read again within two seconds of a start
# Deeper than the interpreter's stack, but within the size limit of a row.
NESTED = b"[" * 20_000 + b"]" * 20_000


def _with_field(body, name, value):
    """Return the JSON of ``body`` with a further field, whose value is JSON."""
    text = msgspec.json.encode(body)
    return text[:-1] + b',"' + name + b'":' + value + b"}"


def _entry(world, name=b"more", value=NESTED):
    database = world.group.databases["d2"]
    address = world.servers.addresses["d2"]
    return _with_field(
        make_registry_entry(SERVICE, database, address, "z2"), name, value
    )


def _configuration(world, timeout_ms=1000.0, more=NESTED):
    body = make_configuration_body(99, SERVICE, 34, {}, timeout_ms, ("own",), 200)
    return _with_field(body, b"more", more)


# Every instance reads each row, so a row that ends one process ends all of them.
UNREADABLE_ROWS = {
    "nested entry": lambda world: ("servers", "x", _entry(world)),
    "nested configuration": lambda world: ("op", "config", _configuration(world)),
    "timeout beyond any span": lambda world: (
        "op",
        "config",
        _configuration(world, timeout_ms=1e300, more=b"0"),
    ),
    "nested member": lambda world: (MEMBERS, "x", b'{"more":' + NESTED + b"}"),
    "nested suspicion": lambda world: ("suspicion", "x", b'{"more":' + NESTED + b"}"),
}


# Guards against: decoding an invalid row raises an unexpected exception, which ends the
# processes of all instances at once.
@pytest.mark.parametrize("name", UNREADABLE_ROWS)
def test_unreadable_row_leaves_callers_served(name):
    async def body(world):
        world.platform.put(*UNREADABLE_ROWS[name](world))
        await anyio.sleep(REREAD_S)
        version = world.instances[0].directory.table.version
        assert_that(version, Equals(world.version))
        async with world.caller("own") as caller:
            answer = await caller.ask("WRITE a 1")
            assert_that(answer[0], StartsWith("COMPLETE r"))
        world.configure()
        with anyio.fail_after(3):
            while world.instances[0].directory.table.version < world.version:
                await anyio.sleep(0.02)

    run_in_world(body)


# Guards against: an invalid status of a database raises an unexpected exception in the
# task that queried it.
def test_report_with_an_infinite_lag_is_unreadable():
    with pytest.raises(CodedError) as caught:
        decode_report("replica 3 3.1209 0 inf 2 17")
    assert_that(str(caught.value), Contains("unreadable"))


BIG = 10**400  # beyond a double
ODD_FIELDS = {
    "slots beyond a double": {"slots": BIG},
    "slots beyond any database": {"slots": 10**12},
    "negative slots": {"slots": -(10**12)},
    "warm-up beyond any span": {"warmupLeftMs": 1e300},
    "birth beyond a double": {"born": BIG},
    "birth beyond any time": {"born": 10**30},
    "negative birth": {"born": -(10**30)},
    "sequence beyond a double": {"sequence": BIG},
    "port out of range": {"address": "127.0.0.1:65536"},
    "negative port": {"address": "127.0.0.1:-1"},
    "no port": {"address": "127.0.0.1:0"},
    "port of many digits": {"address": "127.0.0.1:" + "9" * 5000},
    "host name": {"address": "localhost:80"},
    "multicast address": {"address": "224.0.0.1:80"},
    "broadcast address": {"address": "255.255.255.255:80"},
    "scoped address": {"address": "[fe80::1%nosuch]:80"},
    "any address": {"address": "0.0.0.0:9"},
    "service of another alphabet": {"serviceName": "топливо"},
    "service of two lines": {"serviceName": f"{SERVICE}\r\nQUERY - PAUSE 9"},
    "service of two words": {"serviceName": f"{SERVICE} x"},
    "empty service": {"serviceName": ""},
    "long service": {"serviceName": "s" * 40_000},
    "zone of another alphabet": {"zone": "зона"},
    "long zone": {"zone": "z" * 40_000},
    "unknown state": {"state": "odd"},
    "unknown role": {"dbRole": "odd"},
    "null state": {"state": None},
    "list of slots": {"slots": [1]},
}
ODD_KEYS = {
    "id of another alphabet": "база",
    "id of two lines": "x\r\nQUERY - PAUSE 9",
    "id of two words": "x y",
    "quoted id": 'x"} 1\ny',
    "empty id": "",
    "long id": "x" * 200,
}


def _put_odd_entries(world):
    database = world.group.databases["d2"]
    address = world.servers.addresses["d2"]
    good = make_registry_entry(SERVICE, database, address, "z2")
    for number, fields in enumerate(ODD_FIELDS.values()):
        world.platform.put("servers", f"odd{number}", good | fields)
    for key in ODD_KEYS.values():
        world.platform.put("servers", key, good)


# Failure: one odd entry among those of the databases keeps an instance from following
# the list, from replacing the leader of its service, or from answering for its metrics.
def test_odd_entries_leave_the_list_followed_and_the_leader_replaced():
    async def body(world):
        _put_odd_entries(world)
        await anyio.sleep(REREAD_S)
        instance = world.instances[0]
        async with world.caller("own") as caller:
            assert_that((await caller.ask("WRITE a 1"))[0], StartsWith("COMPLETE r"))
        instance.render_metrics()
        await world.servers.crash("d1")
        with anyio.fail_after(15):
            while not await _can_write(world):
                _put_odd_entries(world)
                await anyio.sleep(0.2)
        assert_that(world.group.primary.database_id, Not(Equals("d1")))
        failed = [fields for event, fields in world.logs[0].lines if "fail" in event]
        unexpected = [fields for fields in failed if "trace" in fields]
        assert_that(unexpected, Equals([]))

    run_in_world(body)


async def _can_write(world):
    async with world.caller("own") as caller:
        return (await caller.ask("WRITE a 2"))[0].startswith("COMPLETE r")

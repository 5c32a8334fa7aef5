"""Rows of the store that cannot be decoded."""

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith

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

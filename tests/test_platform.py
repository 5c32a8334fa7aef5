"""The platform's client against its stand-in over real sockets."""

from datetime import timedelta

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.exit_status import exit_status
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.settings.address import Address
from goldcrestpond.standin.platform_standin import run_platform
from goldcrestpond.standin.table import Table
from goldcrestpond.store.condition import Condition
from goldcrestpond.store.http_platform import HttpPlatform
from goldcrestpond.store.instance_entry import InstanceEntry
from goldcrestpond.store.platform_conflict import PlatformConflict
from goldcrestpond.store.row import Row
from goldcrestpond.store.write import Write

_LOOPBACK = Address("127.0.0.1", 0)
_SHORT = timedelta(milliseconds=200)


def run(scenario, timeout=timedelta(seconds=5)):
    """Run a scenario with a platform stand-in and a client."""

    async def main():
        async with run_platform(_LOOPBACK, SystemClock()) as standin:
            async with HttpPlatform(standin.address, timeout) as platform:
                await scenario(standin, platform)

    anyio.run(main)


async def expect_unavailable(call):
    with pytest.raises(CodedError) as caught:
        await call
    assert_that(caught.value.code, Is(ResultCode.PLATFORM_UNAVAILABLE))


def test_conditional_write_fails_on_an_unexpected_revision():
    async def scenario(standin, platform):
        assert_that(await platform.read("a/b"), Is(None))
        revision = await platform.put("a/b", b'{"x":1}', 0)
        assert_that(await platform.read("a/b"), Equals(Row("a/b", b'{"x":1}', 1)))
        with pytest.raises(PlatformConflict) as caught:
            await platform.put("a/b", b"2", 0)
        assert_that(caught.value.rows, Equals([Row("a/b", b'{"x":1}', revision)]))
        await platform.delete("a/b", revision)
        with pytest.raises(PlatformConflict) as caught:
            await platform.delete("a/b", revision)
        assert_that(caught.value.rows, Equals([Row("a/b", None, 0)]))

    run(scenario)


def test_batch_writes_all_rows_or_none():
    async def scenario(standin, platform):
        await platform.put("a", b"1", 0)
        writes = [Write("a", None), Write("b ä", b"2")]
        with pytest.raises(PlatformConflict) as caught:
            await platform.batch([Condition("a", 1), Condition("b ä", 9)], writes)
        assert_that(caught.value.rows, Equals([Row("b ä", None, 0)]))
        assert_that(await platform.batch([Condition("a", 1)], writes), Equals(3))
        changes = await platform.changes("", 0, 10)
        rows = [Row("a", None, 2), Row("b ä", b"2", 3)]
        assert_that(changes.rows, Equals(rows))
        assert_that(changes.is_last, Is(True))

    run(scenario)


def test_write_whose_answer_is_lost_or_late_takes_effect():
    async def scenario(standin, platform):
        standin.faults.lose_next_answers = 1
        await expect_unavailable(platform.put("a", b"1", 0))
        assert_that((await platform.read("a")).revision, Equals(1))
        standin.faults.delay_ms = 400
        await expect_unavailable(platform.put("a", b"2", 1))
        standin.faults.delay_ms = 0
        assert_that((await platform.read("a")).value, Equals(b"1"))
        await anyio.sleep(0.4)
        assert_that((await platform.read("a")).value, Equals(b"2"))

    run(scenario, _SHORT)


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_requests_during_an_outage_fail_without_effect(fault):
    async def scenario(standin, platform):
        setattr(standin.faults, fault, True)
        await expect_unavailable(platform.put("a", b"1", 0))
        await expect_unavailable(platform.read("a"))
        setattr(standin.faults, fault, False)
        assert_that(await platform.read("a"), Is(None))

    run(scenario, _SHORT)


def test_objects_and_instance_list_are_returned_as_stored():
    async def scenario(standin, platform):
        assert_that(await platform.get_object("x/y"), Is(None))
        await platform.put_object("x/y", b"\0\xff")
        assert_that(await platform.get_object("x/y"), Equals(b"\0\xff"))
        entry = InstanceEntry("i1", "127.0.0.1:1", "z1", "leaving")
        standin.set_instances([entry])
        assert_that(await platform.instances(), Equals([entry]))

    run(scenario)


_WRITES = st.lists(
    st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.just(b"1"))), max_size=40
)


@given(_WRITES, _WRITES, st.integers(1, 4))
def test_pages_read_during_writes_add_up_to_the_current_table(before, during, limit):
    table = Table()
    writes = [Write(*write) for write in during]
    table.batch([], [Write(*write) for write in before])
    rows_by_key, cursor, is_last = {}, 0, False
    while not is_last:
        page = table.changes("", cursor, limit)
        rows_by_key.update((row.key, row) for row in page.rows)
        cursor, is_last = page.revision, page.is_last
        if writes:
            table.batch([], [writes.pop()])
            is_last = False
    present = {key: row for key, row in rows_by_key.items() if row.value is not None}
    rows = [table.read(key) for key in "abc"]
    expected = {row.key: row for row in rows if row.value is not None}
    assert_that(present, Equals(expected))


def test_exit_statuses_are_distinct():
    statuses = {exit_status(code) for code in ResultCode}
    assert_that(len(statuses), Equals(len(ResultCode)))
    assert_that(all(0 < status < 200 for status in statuses), Is(True))

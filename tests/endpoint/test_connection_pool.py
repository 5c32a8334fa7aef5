"""The pool's shell: for whom connections are opened, and what its gauges show."""

from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.endpoint.connection_pool import ConnectionPool
from goldcrestpond.endpoint.pool_gauges import read_pool_gauges
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.pace import Pace
from goldcrestpond.pool.pool_settings import PoolSettings
from goldcrestpond.pool.requester import Requester

_WAIT = timedelta(seconds=2)


class _Link:
    """A connection that is opened for one organisation and can always be used."""

    def __init__(self, organisation):
        self.organisation = organisation
        self.pool_connection_id = 0
        self.receive_count = self.last_receive_count = 0
        self.is_receiving = self.is_broken = self.is_abandoned = False

    def is_quiet(self):
        return not self.is_broken

    async def check(self):
        await anyio.sleep(0)

    async def aclose(self):
        await anyio.sleep(0)


def _make_pool(tasks, open_link, limit=2, pace=None):
    settings = PoolSettings(slot_limit=2, connection_limit=limit, probe_reserve=0)
    decisions = DatabasePool(settings, pace=pace)
    clock = SystemClock()
    return ConnectionPool("d", decisions, open_link, clock, tasks, lambda _link: None)


async def _acquire(pool, organisation):
    deadline = SystemClock().now() + _WAIT
    return await pool.acquire(0, deadline, Requester("s", organisation), Lane.SHORT)


async def _open(organisation):
    await anyio.sleep(0)
    return _Link(organisation)


@pytest.mark.anyio
async def test_connections_are_opened_for_their_organisation_and_closed_for_others():
    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, _open)
        for name in ("a", "b", "a", "c", "b", ""):
            link = await _acquire(pool, name)
            assert_that(link.organisation, Equals(name))
            pool.release(link)
        gauges = read_pool_gauges(pool, "s", "d")
        label = '{service="s",database="d"}'
        assert_that(gauges[f"pool_hits{label}"], Equals(1))
        assert_that(gauges[f"pool_misses{label}"], Equals(5))
        assert_that(gauges[f"pool_closed_for_room{label}"], Equals(3))
        idle = 'pool_connections{service="s",database="d",state="idle"}'
        assert_that(gauges[idle], Equals(2))
        await pool.aclose()


# Guards against: a request is lost, or its slot, when the endpoint has closed the idle
# connection that it is granted.
@pytest.mark.anyio
async def test_connection_that_the_endpoint_closed_is_replaced_for_its_organisation():
    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, _open)
        link = await _acquire(pool, "a")
        pool.release(link)
        link.is_broken = True
        other = await _acquire(pool, "a")
        assert_that((other is link, other.organisation), Equals((False, "a")))
        pool.release(other)
        assert_that(pool.demand, Equals(0))
        await pool.aclose()


@pytest.mark.anyio
async def test_cancelled_request_leaves_its_opening_to_the_next_one():
    opened = []
    may_open = anyio.Event()

    async def open_slowly(organisation):
        opened.append(organisation)
        await may_open.wait()
        return _Link(organisation)

    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, open_slowly)
        with anyio.move_on_after(0.02):
            await _acquire(pool, "a")
        assert_that(pool.demand, Equals(0))
        may_open.set()
        link = await _acquire(pool, "a")
        assert_that(link.is_broken, Is(False))
        assert_that(opened, Equals(["a"]))
        pool.release(link)
        await pool.aclose()


# Guards against: an organisation that the database refuses has others refused as well.
@pytest.mark.anyio
async def test_refused_opening_fails_only_requests_of_its_organisation():
    async def refuse_b(organisation):
        await anyio.sleep(0)
        if organisation == "b":
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, "refused")
        return _Link(organisation)

    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, refuse_b)
        link = await _acquire(pool, "a")
        with pytest.raises(CodedError) as raised:
            await _acquire(pool, "b")
        assert_that(raised.value.code, Is(ResultCode.ENDPOINT_UNREACHABLE))
        pool.release(link)
        assert_that(await _acquire(pool, "a"), Is(link))
        pool.release(link)
        await pool.aclose()


# Guards against: an opening that is cancelled before its task has begun leaves its
# connection open for good, and the pool never closes.
@pytest.mark.anyio
async def test_opening_that_is_cancelled_in_the_same_step_leaves_nothing_open():
    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, _open)
        tasks.start_soon(_acquire_refused, pool)
        while not pool.open_count:
            await anyio.sleep(0)
        pool.set_limits(0, 2, 1)
        with anyio.fail_after(1):
            await pool.aclose()
        assert_that(pool.open_count, Equals(0))


# Guards against: requests that leave without a statement look like answers that took no
# time: they end a row of failures and shorten the usual time.
@pytest.mark.anyio
async def test_only_connections_that_were_used_show_how_the_database_does():
    pace = _CountingPace()
    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, _open, pace=pace)
        link = await _acquire(pool, "a")
        pool.release(link)
        assert_that(pace.answer_count, Equals(0))
        link = await _acquire(pool, "a")
        link.receive_count += 1
        pool.suspend(link)
        assert_that(pace.answer_count, Equals(1))
        pool.resume(link)
        pool.release(link)
        assert_that(pace.answer_count, Equals(1))
        link = await _acquire(pool, "a")
        link.receive_count += 1
        pool.release(link)
        assert_that(pace.answer_count, Equals(2))
        await pool.aclose()


# Guards against: three callers who leave while their statements run begin a pace.
@pytest.mark.anyio
@pytest.mark.parametrize(("is_abandoned", "count"), [(True, 0), (False, 1)])
async def test_callers_who_leave_are_no_failures_of_the_database(is_abandoned, count):
    pace = _CountingPace()
    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, _open, pace=pace)
        link = await _acquire(pool, "a")
        await anyio.sleep(0.005)
        link.is_broken = True
        link.is_abandoned = is_abandoned
        pool.release(link)
        assert_that((pace.failure_count, pace.answer_count), Equals((count, 0)))
        await pool.aclose()


class _CountingPace(Pace):
    """Counts the answers and the failures that it is told."""

    answer_count = 0
    failure_count = 0

    def record_failure(self, now):
        self.failure_count += 1
        super().record_failure(now)

    def record_answer(self, lane, service_time, now):
        self.answer_count += 1
        super().record_answer(lane, service_time, now)


# Guards against: new limits open connections beyond the new share and close them again.
@pytest.mark.anyio
async def test_more_slots_with_a_lower_share_open_no_connection():
    opened = []

    async def open_slowly(organisation):
        opened.append(organisation)
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        pool = _make_pool(tasks, open_slowly, limit=8)
        pool.set_limits(8, 2, 1)
        for _ in range(4):
            tasks.start_soon(_acquire_refused, pool)
        await anyio.sleep(0.01)
        pool.set_limits(2, 4, 1)
        await anyio.sleep(0.01)
        assert_that(opened, Equals([""] * 2))
        with anyio.fail_after(1):
            await pool.aclose()


async def _acquire_refused(pool):
    with pytest.raises(CodedError):
        await _acquire(pool, "")

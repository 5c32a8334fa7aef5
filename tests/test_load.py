"""Short load runs break no guarantee, and detect guarantees broken on purpose."""

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.endpoint.group_monitor import GroupMonitor
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.load.failures import cut_from_peers, fail_primary
from goldcrestpond.load.load_run import LoadRun
from goldcrestpond.load.run_load import audit_site, run_scenario
from goldcrestpond.load.scenario import Scenario
from goldcrestpond.load.scenarios import make_scenarios
from goldcrestpond.load.workload import Workload
from goldcrestpond.retry import request_attempts
from goldcrestpond.root.local_site import run_local_site
from goldcrestpond.wire import request_runner

_DURATION_S = 1.2
_MAX_WAIT_S = 10.0
_MAX_CUTS_S = 30.0
_FAULTS_DURATION_S = 2.5  # the first faults start after 1 s
_WRITES = Workload(write_share=1.0, think_ms=20.0, planner_count=0)


def run(scenario, duration_s=_DURATION_S):
    return anyio.run(run_scenario, "test", scenario, 5, duration_s, SystemClock())


def palermo(script, ends_with_script=False):
    site = make_scenarios(5, _DURATION_S)["palermo"].site
    return Scenario(site, _WRITES, script=script, ends_with_script=ends_with_script)


async def wait_for_writes(load):
    """Wait until callers write, which takes seconds on a busy machine."""
    with anyio.fail_after(_MAX_WAIT_S):
        while load.auditor.acknowledged_count < _WRITES.writer_count:
            await anyio.sleep(0.01)


async def cut_off_primary(site, load, rng):
    await wait_for_writes(load)
    await fail_primary(site, load, cut_from_peers)


def acknowledged_by_replaced(site, load):
    terms = [entry.term for entry in site.group.primary().database.log]
    return load.auditor.compare([], terms).acknowledged_by_replaced


async def cut_off_until_loss(site, load, rng):
    # On a busy machine a primary may be replaced before it has answered any caller.
    with anyio.move_on_after(_MAX_CUTS_S):
        await cut_off_primary(site, load, rng)
        while not acknowledged_by_replaced(site, load):
            await fail_primary(site, load, cut_from_peers)


async def lose_answers(site, load, rng):
    await anyio.sleep(0.2)
    faults = site.group.primary().faults
    faults.lose_answer = 10
    with anyio.move_on_after(_MAX_WAIT_S):
        while faults.lose_answer:
            await anyio.sleep(0.01)


async def wait_for_stale_read(site, load, rng):
    # The lag is long enough for stale reads also if callers are slow.
    for server in site.group.databases:
        server.faults.replay_lag_ms = _MAX_WAIT_S * 1000
    with anyio.move_on_after(_MAX_WAIT_S):
        while not load.auditor.stale_reads:
            await anyio.sleep(0.01)


@pytest.mark.parametrize("name", ["roam", "two_faults"])
def test_short_run_breaks_no_guarantee(name):
    scenario = make_scenarios(5, _FAULTS_DURATION_S)[name]
    result = run(scenario, _FAULTS_DURATION_S)
    assert_that(result.broken_promises, Equals(0))
    assert_that(result.acknowledged, GreaterThan(0))


def test_failover_breaks_no_guarantee():
    result = run(palermo(cut_off_primary, ends_with_script=True))
    assert_that(result.broken_promises, Equals(0))
    assert_that(result.gaps_ms, HasLength(1))


# Guards against an audit that fails because the primary is being replaced as the run
# ends.
def test_audit_waits_while_the_primary_is_replaced():
    async def body():
        async with run_local_site(palermo(None).site) as site:
            database = site.group.primary().database
            database.fence(database.term + 1, "nobody")
            return await audit_site(site, LoadRun(SystemClock()))

    assert_that(anyio.run(body).lost, Equals(0))


def test_acknowledgement_without_a_majority_is_detected(monkeypatch):
    async def confirm(self, position, deadline):
        """Confirm without waiting for replicas."""

    monkeypatch.setattr(GroupMonitor, "confirm", confirm)
    result = run(palermo(cut_off_until_loss, ends_with_script=True))
    assert_that(result.lost, GreaterThan(0))
    assert_that(result.acknowledged_by_replaced, GreaterThan(0))


def test_read_below_the_minimum_position_is_detected(monkeypatch):
    choose = GroupMonitor.choose_replica

    def choose_any_replica(self, min_position, max_age):
        return choose(self, None, timedelta(hours=1))

    monkeypatch.setattr(GroupMonitor, "choose_replica", choose_any_replica)
    roam = make_scenarios(5, _DURATION_S)["roam"]
    result = run(replace(roam, script=wait_for_stale_read, ends_with_script=True))
    assert_that(result.stale_reads, GreaterThan(0))


def test_repetition_of_a_write_that_may_have_run_is_detected(monkeypatch):
    monkeypatch.setattr(request_attempts, "may_repeat", lambda *_: True)
    result = run(palermo(lose_answers, ends_with_script=True))
    assert_that(result.doubled, GreaterThan(0))


def test_unknown_outcome_reported_as_not_run_is_detected(monkeypatch):
    def report_not_run(error):
        return CodedError(ResultCode.QUEUE_DEADLINE)

    monkeypatch.setattr(request_runner, "_final_error", report_not_run)
    result = run(palermo(lose_answers, ends_with_script=True))
    assert_that(result.not_run_but_ran, GreaterThan(0))

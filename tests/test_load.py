"""Short runs of the load scenarios keep every promise."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.load.run_load import run_scenario
from goldcrestpond.load.scenarios import make_scenarios

_DURATION_S = 2.5


@pytest.mark.parametrize("name", ["roam", "failover", "two_faults"])
def test_short_run_breaks_no_promise(name):
    scenario = make_scenarios(5, _DURATION_S)[name]
    result = anyio.run(run_scenario, name, scenario, 5, _DURATION_S, SystemClock())
    assert_that(result.broken_promises, Equals(0))
    assert_that(result.acknowledged, GreaterThan(0))

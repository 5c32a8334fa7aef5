"""Hypothesis profiles and fixtures that all tests share."""

import os
import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from goldcrestpond.clock.manual_clock import ManualClock

# The same examples on each run, so that results are reproducible.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# New examples on each run, started by hand; a failing example is printed so that it
# can be kept as a test case.
settings.register_profile(
    "fuzz",
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Let the tests that KNOWN-RED.txt lists fail without failing the run.

    They are run, and reported as xfailed or xpassed; all others must pass, and also the
    other parameters of a test that is listed with one.
    """
    names = re.findall(r"pytest (tests/\S+::\w+(?:\[[\w-]+\])?)", KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in names or item.nodeid.partition("[")[0] in names:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


@pytest.fixture
def clock():
    """Return a clock that advances only when the test advances it."""
    return ManualClock()


@pytest.fixture(scope="session")
def anyio_backend():
    """Run asynchronous tests on the backend that the programs use."""
    return "asyncio"

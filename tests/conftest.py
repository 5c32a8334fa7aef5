"""Profiles and fixtures that all tests share."""

import os

import pytest
from hypothesis import HealthCheck, settings

from goldcrestpond.clock.manual_clock import ManualClock

# The same examples on each run: a verdict must not depend on the day.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def clock():
    """Return a clock that moves only when told to."""
    return ManualClock()


@pytest.fixture(scope="session")
def anyio_backend():
    """Run asynchronous tests on the backend that the programs use."""
    return "asyncio"

"""Which holder is asked under heavy loads; each test names its pattern."""

import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.relay.choose_holder import FAR_COST, LOAN_COST, choose_holder
from goldcrestpond.serving.endpoint_health import EndpointHealth

_NOW = timedelta(seconds=3)


@dataclass
class _Holder:
    availability_zone: str
    outstanding: int = 0
    wait: timedelta = timedelta(0)
    health: EndpointHealth = field(default_factory=EndpointHealth)


@pytest.fixture
def choose():
    rng = random.Random(1)

    def choose(holders, zone="z1"):
        return choose_holder(holders, zone, lambda holder: holder.wait, _NOW, rng)

    return choose


def test_near_holder_is_asked_while_it_has_no_queue(choose):
    near, far = _Holder("z1"), _Holder("z2")
    assert_that(choose([far, near]), Is(near))
    near.outstanding = FAR_COST // LOAN_COST + 1
    assert_that(choose([far, near]), Is(far))
    assert_that(choose([]), Is(None))


def test_queue_that_others_made_is_seen_by_what_it_let_wait(choose):
    """Busy zone: many instances, each with one loan, prefer the same near holder."""
    near, far = _Holder("z1", wait=timedelta(milliseconds=120)), _Holder("z2")
    assert_that(choose([near, far]), Is(far))


def test_equal_holders_share_the_work(choose):
    holders = [_Holder("z2") for _ in range(5)]
    chosen = Counter(holders.index(choose(holders)) for _ in range(500))
    assert_that(min(chosen.values()) > 60, Equals(True))


def test_failing_holder_is_asked_last(choose):
    near, far = _Holder("z1"), _Holder("z2", wait=timedelta(milliseconds=300))
    near.health.failed(_NOW)
    near.health.failed(_NOW)
    assert_that(choose([near, far]), Is(far))
    assert_that(choose([near]), Is(near))

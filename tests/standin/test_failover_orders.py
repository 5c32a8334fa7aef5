"""Failover calls: their fence, their late execution and their delayed effect."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.standin.failover_orders import FailoverOrders


@pytest.fixture
def promoted():
    """List of the tokens of the orders that took effect."""
    return []


@pytest.fixture
def orders(promoted):
    orders = FailoverOrders(SystemClock())
    orders.promote = lambda order: promoted.append(order.token)
    return orders


# Guards against: a promotion within its call, so that nothing falls in between.
def test_promotion_takes_effect_after_a_delay(orders, promoted):
    async def run():
        orders.draw_effect_delay_s = lambda: 0.03
        assert_that(orders.call("s", "d2", "i1", 5), Equals(200))
        assert_that(promoted, Equals([]))
        await anyio.sleep(0.06)
        assert_that(promoted, Equals([5]))

    anyio.run(run)


# Guards against: a late order whose token is checked at the time of its call.
@pytest.mark.parametrize("newer, expected", [(4, [4, 5]), (6, [6])])
def test_unanswered_call_is_executed_later_unless_a_newer_token_was_seen(
    orders, promoted, newer, expected
):
    async def run():
        orders.draw_execution_delay_s = lambda: 0.03
        assert_that(orders.call("s", "d2", "i1", 5), Equals(0))
        orders.draw_execution_delay_s = lambda: 0.0
        orders.call("s", "d3", "i2", newer)
        await anyio.sleep(0.06)
        assert_that(promoted, Equals(expected))

    anyio.run(run)


def test_lower_token_and_stopped_database_are_refused(orders, promoted):
    """Guards against: orders that a platform with a fence refuses."""
    orders.call("s", "d2", "i1", 5)
    assert_that(orders.call("s", "d3", "i2", 4), Equals(409))
    assert_that(orders.call("other", "d3", "i2", 4), Equals(200))
    orders.is_running = lambda service, database: False
    assert_that(orders.call("s", "d3", "i2", 6), Equals(409))
    assert_that(promoted, Equals([5, 4]))


def test_order_for_the_primary_changes_nothing_but_the_fence(orders, promoted):
    """Guards against: a new term for the database that leads."""
    orders.is_primary = lambda service, database: database == "d1"
    assert_that(orders.call("s", "d1", "i1", 5), Equals(200))
    assert_that(orders.call("s", "d2", "i2", 4), Equals(409))
    assert_that(promoted, Equals([]))

"""Loads of many organisations before the few connections of one database."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from .pool_simulation import CLOSING_MS, OPENING_MS, Arrival, PoolSimulation

_ORGANISATION_COUNT = 77
_EXPONENT = 1.2
_SERVICE_MS = 9


def _zipf_arrivals(count, rate_per_s, seconds, seed=1):
    rng = random.Random(seed)
    names = [f"organisation {rank}" for rank in range(count)]
    shares = [1 / (rank + 1) ** _EXPONENT for rank in range(count)]
    at_ms = 0.0
    arrivals = []
    while at_ms < seconds * 1000:
        at_ms += rng.expovariate(rate_per_s / 1000)
        name = rng.choices(names, shares)[0]
        arrivals.append(Arrival(at_ms, name, rng.expovariate(1 / _SERVICE_MS)))
    return arrivals


def _steady_arrivals(name, every_ms, start_ms, end_ms, **fields):
    count = int((end_ms - start_ms) / every_ms)
    return [
        Arrival(start_ms + index * every_ms, name, _SERVICE_MS, **fields)
        for index in range(count)
    ]


# Guards against: nearly each request of one of many organisations opens a connection.
def test_many_organisations_before_few_connections_mostly_find_one_open():
    arrivals = _zipf_arrivals(_ORGANISATION_COUNT, rate_per_s=60, seconds=60)
    blind = PoolSimulation(2, 9, is_blind=True).play(arrivals)
    aware = PoolSimulation(2, 9).play(arrivals)
    # The nine largest organisations send 69% of the requests.
    assert_that(blind.hit_fraction, LessThan(0.15))
    assert_that(aware.hit_fraction, GreaterThan(0.6))
    assert_that(aware.opened_count, LessThan(blind.opened_count // 2))
    assert_that(aware.mean_wait_ms(), LessThan(blind.mean_wait_ms() / 2))
    assert_that(sum(aware.refused.values()), Equals(0))


def test_organisations_of_one_home_nearly_always_find_a_connection_open():
    arrivals = _zipf_arrivals(13, rate_per_s=60, seconds=60)
    aware = PoolSimulation(2, 9).play(arrivals)
    assert_that(aware.hit_fraction, GreaterThan(0.85))
    assert_that(aware.mean_wait_ms(), LessThan(5))


# Guards against: a flood of one organisation makes the others late or has them refused.
def test_one_organisation_floods_and_delays_its_own_requests_first():
    flood = _steady_arrivals("flood", 2, 1000, 6000)
    small = [
        arrival
        for index in range(5)
        for arrival in _steady_arrivals(f"small {index}", 100, index * 7, 6000)
    ]
    blind = PoolSimulation(2, 9, is_blind=True).play([*flood, *small])
    aware = PoolSimulation(2, 9).play([*flood, *small])
    names = [f"small {index}" for index in range(5)]
    assert_that(sum(aware.refused[name] for name in names), Equals(0))
    assert_that(aware.wait_at_ms(0.99, *names), LessThan(60))
    assert_that(aware.refused["flood"], GreaterThan(0))
    assert_that(len(aware.waits_ms["flood"]), GreaterThan(len(blind.waits_ms["flood"])))
    # Refusals come at once, or when a request of another organisation has gone ahead.
    late = [delay for delay in aware.refusal_delays_ms if delay > 300]
    assert_that(len(late), LessThan(0.05 * len(aware.refusal_delays_ms)))


def test_one_organisation_floods_with_bulk_while_another_sends_urgent_requests():
    bulk = _steady_arrivals("large", 2, 0, 4000, priority=5)
    urgent = _steady_arrivals("small", 50, 500, 4000, priority=1)
    outcome = PoolSimulation(2, 9).play([*bulk, *urgent])
    assert_that(outcome.served_fraction("small"), Equals(1))
    assert_that(outcome.wait_at_ms(0.99, "small"), LessThan(25))


# Guards against: an organisation with a higher weight, or a lower one, is served like
# others while a database is short of room.
def test_two_organisations_flood_and_share_by_weight():
    heavy = _steady_arrivals("heavy", 4, 0, 5000, weight=3.0, wait_ms=500)
    light = _steady_arrivals("light", 4, 0, 5000, weight=1.0, wait_ms=500)
    outcome = PoolSimulation(2, 9).play([*heavy, *light])
    ratio = len(outcome.waits_ms["heavy"]) / len(outcome.waits_ms["light"])
    assert_that(ratio, GreaterThan(2.4))
    assert_that(ratio, LessThan(3.6))


# Guards against: those that have a connection are served again and again, since closing
# it for another organisation and opening one takes time.
def test_many_organisations_flood_and_are_served_alike():
    names = [f"organisation {index}" for index in range(20)]
    floods = [
        arrival
        for index, name in enumerate(names)
        for arrival in _steady_arrivals(name, 15, index * 0.1, 6000)
    ]
    blind = PoolSimulation(2, 9, is_blind=True).play(floods)
    aware = PoolSimulation(2, 9).play(floods)
    counts = [len(aware.waits_ms[name]) for name in names]
    assert_that(min(counts), GreaterThan(0.8 * max(counts)))
    assert_that(aware.served_count, GreaterThan(1.3 * blind.served_count))


# Guards against: organisations that come back together close one another's connections
# again and again, or some of them are served again before others are served once.
def test_herd_of_organisations_returns_at_once():
    herd = [
        Arrival(0.0, f"organisation {index}", _SERVICE_MS, wait_ms=3000)
        for _ in range(3)
        for index in range(40)
    ]
    outcome = PoolSimulation(2, 9).play(herd)
    assert_that(sum(outcome.refused.values()), Equals(0))
    firsts = max(min(waits) for waits in outcome.waits_ms.values())
    # Over two slots, 40 organisations each take a close, an opening and a statement.
    turn_ms = CLOSING_MS + OPENING_MS + _SERVICE_MS
    assert_that(firsts, LessThan(40 * turn_ms / 2 * 1.3))
    assert_that(outcome.opened_count, LessThan(121))


# Guards against: transactions of one organisation hold all connections.
def test_one_organisation_that_holds_connections_leaves_another_its_first():
    slow = [Arrival(0.0, "slow", 5000, wait_ms=4000) for _ in range(20)]
    other = _steady_arrivals("other", 100, 100, 2000)
    outcome = PoolSimulation(20, 9).play([*slow, *other])
    assert_that(outcome.served_fraction("other"), Equals(1))
    assert_that(outcome.wait_at_ms(1, "other"), LessThan(15))

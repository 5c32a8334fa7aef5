"""What one meter admits, refuses, hands over and logs."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.rates.handover import Handover
from goldcrestpond.rates.organisation_rate import RETRY_AFTER_LIMIT
from goldcrestpond.rates.rate_bound import RateBound
from goldcrestpond.rates.rate_meter import RateMeter
from goldcrestpond.rates.rate_role import RateRole
from goldcrestpond.serving.organisation import Organisation

_PROOF_LIMIT = timedelta(seconds=2)
_BOUND = RateBound(timedelta(seconds=5), 0.1, 20)
_MILL = Organisation("mill", 1, 10, 20)
_LONG = timedelta(seconds=60)
_HOME, _STANDBY = RateRole(main_share=1), RateRole(standby_share=1)


class _Log:
    def __init__(self):
        self.lines = []

    def decision(self, event, **fields):
        self.lines.append((event, fields))

    def named(self, event):
        return [fields for name, fields in self.lines if name == event]


class _World:
    """A meter, its clock and the age of its tables."""

    def __init__(
        self,
        organisations=(_MILL,),
        role=None,
        lowering_delay=timedelta(0),
        started_ago=timedelta(0),
    ):
        self.now = timedelta(days=30)
        self.age = timedelta(0)
        self.version = None
        self.log = _Log()
        self.meter = RateMeter(
            _BOUND,
            _PROOF_LIMIT,
            self._is_proven,
            self.log,
            lambda: self.age,
            lambda: self.version,
            lowering_delay,
            self.now - started_ago,
        )
        self.set_limits(*organisations)
        if role is not None:
            self.set_role(role, 1)
            self.wait(_LONG)

    def _is_proven(self):
        return self.age is not None and self.age <= _PROOF_LIMIT

    def set_limits(self, *organisations):
        named = {organisation.name: organisation for organisation in organisations}
        self.meter.set_limits(named, self.now)

    def set_role(self, role, version, **flags):
        self.meter.set_roles({"mill": role}, self.now, (1, version), **flags)

    def wait(self, span):
        """Let time pass while the tables stay as old as they are."""
        until = self.now + span
        while self.now < until:
            self.now = min(until, self.now + _PROOF_LIMIT / 4)
            self.meter.observe(self.now)

    def charge(self, organisation="mill"):
        return self.meter.charge(organisation, False, self.now)

    def refusal(self, organisation="mill"):
        try:
            self.charge(organisation)
        except CodedError as error:
            return error
        return None

    def charge_all(self):
        count = 0
        while self.refusal() is None:
            count += 1
        return count


def _milliseconds(count):
    return timedelta(milliseconds=count)


def test_a_settled_home_admits_the_burst_and_then_the_rate():
    world = _World(role=_HOME)
    # A quarter of the reserve of 27 enlarges the burst of 20.
    assert_that(world.charge_all(), Equals(26))
    count = 0
    for _ in range(1000):
        world.now += _milliseconds(50)
        count += world.charge_all()
    assert_that(count, Equals(500))


# An organisation that stays below its limit, also if its operations arrive closer
# together than they were sent.
@given(st.lists(st.integers(0, 600), max_size=150), st.integers(0, 500))
@settings(max_examples=50)
def test_callers_below_their_limit_are_never_refused(gaps_ms, jitter_ms):
    world = _World(role=_HOME)
    tokens, sent_at = 20.0, world.now
    arrivals = []
    for gap_ms in gaps_ms:
        sent_at += _milliseconds(gap_ms)
        tokens = min(20.0, tokens + gap_ms / 100)
        while tokens >= 1:
            tokens -= 1
            # Each second operation is delayed.
            arrivals.append(sent_at + _milliseconds(jitter_ms * (len(arrivals) % 2)))
    for arrival in sorted(arrivals):
        world.now = max(world.now, arrival)
        world.charge()


def test_homes_share_the_rate():
    world = _World(role=RateRole(main_share=0.5))
    assert_that(world.charge_all(), Equals(13))
    world.wait(timedelta(seconds=2))
    assert_that(world.charge_all(), Equals(10))


def test_a_standby_spends_the_reserve_alone():
    world = _World(role=_STANDBY)
    assert_that(world.charge_all(), Equals(5))
    world.wait(timedelta(seconds=5))
    assert_that(world.meter.reserve_spent_count, Equals(5))


# The home is lost, and the standby becomes home.
def test_a_standby_that_becomes_home_spends_the_reserve_until_its_share_begins():
    world = _World(role=_STANDBY)
    world.set_role(_HOME, 2)
    assert_that(world.charge_all(), Equals(5))
    world.wait(_PROOF_LIMIT - _milliseconds(100))
    spent_count = world.meter.reserve_spent_count
    assert_that(world.charge_all(), GreaterThan(0))
    assert_that(world.meter.reserve_spent_count, GreaterThan(spent_count))
    world.wait(_milliseconds(1600))
    assert_that(world.charge_all(), GreaterThan(8))
    assert_that(world.meter.reserve_spent_count, LessThan(spent_count + 10))


def test_a_share_begins_after_the_proof_limit_and_the_age_and_empty():
    world = _World()
    world.age = _milliseconds(300)
    world.wait(_milliseconds(1000))
    world.set_role(_HOME, 1)
    world.wait(_PROOF_LIMIT + _milliseconds(300))
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.wait(_milliseconds(100))
    assert_that(world.refusal().code, Is(ResultCode.RATE_EXCEEDED))
    world.wait(_milliseconds(100))
    assert_that(world.charge_all(), Equals(1))


def test_a_resumed_share_begins_at_once_and_empty():
    world = _World()
    world.set_role(_HOME, 1, is_resumed=True)
    assert_that(world.refusal().code, Is(ResultCode.RATE_EXCEEDED))
    world.wait(_milliseconds(100))
    assert_that(world.charge_all(), Equals(1))


def test_only_the_first_role_of_a_process_is_resumed():
    world = _World()
    world.set_role(RateRole(), 1)
    world.set_role(_HOME, 2, is_resumed=True)
    world.wait(_milliseconds(500))
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


# The instance is cut off: its tables grow too old.
def test_old_tables_refuse_at_once_and_shares_begin_anew():
    world = _World(role=_HOME)
    world.age = _PROOF_LIMIT + _milliseconds(1)
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.age = timedelta(0)
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.wait(_PROOF_LIMIT)
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.wait(timedelta(seconds=1))
    assert_that(world.charge_all(), Equals(5))


# The machine is frozen: nothing was observed, and the tables are new when it wakes.
def test_shares_begin_anew_after_a_long_pause():
    world = _World(role=_HOME)
    world.now += timedelta(seconds=30)
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


def _lapse(world):
    world.age = _PROOF_LIMIT * 2
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.now += timedelta(seconds=30)
    world.age = timedelta(0)


# The store was away for all, and nobody could change its tables.
def test_shares_go_on_after_old_tables_that_did_not_change():
    world = _World()
    world.version = (1, 1)
    world.set_role(_HOME, 1)
    world.wait(_LONG)
    _lapse(world)
    assert_that(world.charge_all(), Equals(26))


# A member expired by this instance's clock while nobody could write heartbeats.
def test_roles_that_were_learned_from_old_tables_begin_anew():
    other = Organisation("other", 1, 10, 20)
    world = _World([_MILL, other])
    world.version = (1, 1)
    world.set_role(_HOME, 1)
    world.wait(_LONG)
    world.age = _PROOF_LIMIT * 2
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.meter.set_roles({"mill": _HOME, "other": _HOME}, world.now, (1, 1))
    world.now += timedelta(seconds=30)
    world.age = timedelta(0)
    assert_that(world.charge_all(), Equals(26))
    assert_that(world.refusal("other").code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.wait(_PROOF_LIMIT)
    assert_that(world.refusal("other").code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.wait(timedelta(seconds=1))
    world.charge("other")


# The machine was frozen, and nothing changed meanwhile.
def test_shares_go_on_after_a_pause_without_changes():
    world = _World()
    world.version = (1, 1)
    world.set_role(_HOME, 1)
    world.wait(_LONG)
    world.now += timedelta(seconds=30)
    assert_that(world.charge_all(), Equals(26))


# The instance was cut off while the table gave its share away and back.
def test_shares_begin_anew_after_old_tables_that_changed():
    world = _World()
    world.version = (1, 1)
    world.set_role(_HOME, 1)
    world.wait(_LONG)
    _lapse(world)
    world.version = (1, 3)
    world.set_role(_HOME, 3)
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


def test_unlimited_organisations_are_not_counted():
    world = _World([Organisation("free")])
    for _ in range(1000):
        charge = world.charge("free")
    world.meter.refund(charge, world.now)
    assert_that(world.meter.gauges()["rate_organisations"], Equals(0))


# Nobody may be served whose keys cannot be proven to be current.
def test_unlimited_organisations_are_refused_by_old_tables():
    world = _World([Organisation("free")])
    world.age = None
    assert_that(world.refusal("free").code, Is(ResultCode.IDENTITY_UNPROVEN))


# The configuration here is older or newer than where the request came from.
def test_unknown_organisations_are_refused():
    world = _World(role=_HOME)
    assert_that(world.refusal("other").code, Is(ResultCode.IDENTITY_UNPROVEN))


def test_organisations_that_are_no_longer_configured_are_forgotten():
    world = _World(role=_HOME)
    world.set_limits()
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    assert_that(world.meter.gauges()["rate_organisations"], Equals(0))
    world.set_limits(_MILL)
    world.wait(_milliseconds(1000))
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


def test_a_lower_limit_holds_at_once():
    world = _World(role=_HOME)
    world.set_limits(Organisation("mill", 1, 1, 2))
    # The reserve is 0.1 * (1 * 5 + 2) + 20 = 20.7.
    assert_that(world.charge_all(), Equals(7))


# Failure: after a loss of power of the whole fleet each home refuses all that waited
# for it, though nobody has run anything since.
def test_resumed_share_has_earned_since_the_start_of_the_process():
    world = _World(started_ago=_milliseconds(700))
    world.set_role(_HOME, 1, is_resumed=True)
    assert_that(world.charge_all(), Equals(int(_MILL.rate_per_s * 0.7)))


# Failure: callers are refused what the former limit allows, before the lower one is
# owed to be in force.
def test_a_lower_limit_holds_after_its_delay():
    delay = _milliseconds(2500)
    world = _World(role=_HOME, lowering_delay=delay)
    former = world.charge_all()
    world.wait(_LONG)
    world.set_limits(Organisation("mill", 1, 1, 2))
    world.wait(delay - _milliseconds(10))
    assert_that(world.charge_all(), Equals(former))
    world.wait(_milliseconds(10))
    assert_that(world.charge_all(), Equals(0))
    world.wait(_LONG)
    assert_that(world.charge_all(), Equals(7))


# Failure: limits that fall again and again put off that any of them holds.
def test_limits_that_fall_in_quick_succession_hold_after_the_delay_of_the_first():
    delay = _milliseconds(2500)
    world = _World(role=_HOME, lowering_delay=delay)
    for rate in (4, 3, 2, 1):
        world.set_limits(Organisation("mill", 1, rate, 2))
        world.wait(delay / 4)
    world.wait(_LONG)
    assert_that(world.charge_all(), Equals(7))


def test_a_higher_limit_holds_at_once_and_calls_off_a_lower_one():
    delay = _milliseconds(2500)
    world = _World(role=_HOME, lowering_delay=delay)
    former = world.charge_all()
    world.set_limits(Organisation("mill", 1, 1, 2))
    world.set_limits(_MILL)
    world.wait(_LONG)
    assert_that(world.charge_all(), Equals(former))


def test_refusals_tell_when_a_token_will_be_there_and_not_all_the_same_time():
    world = _World(role=_HOME)
    world.charge_all()
    delays_ms = [world.refusal().retry_after_ms for _ in range(3)]
    # The charge that ended the burst was refused first.
    assert_that(delays_ms, Equals([125, 225, 325]))
    for _ in range(100):
        last_ms = world.refusal().retry_after_ms
    assert_that(_milliseconds(last_ms), Equals(RETRY_AFTER_LIMIT))


def test_refusals_before_a_share_begins_tell_when_it_begins():
    world = _World()
    world.set_role(_HOME, 1)
    delay = _milliseconds(world.refusal().retry_after_ms)
    # It begins when it is next observed.
    world.wait(delay + _PROOF_LIMIT / 4)
    assert_that(world.charge_all(), GreaterThan(0))


def test_a_refunded_operation_may_be_repeated_once():
    world = _World(role=_HOME)
    world.charge_all()
    world.now += timedelta(seconds=1)
    assert_that(world.charge_all(), Equals(10))
    world.now += timedelta(milliseconds=600)
    charges = [world.charge() for _ in range(6)]
    world.now += _milliseconds(10)
    for _ in range(2):
        world.meter.refund(charges[-1], world.now)
    assert_that(world.charge_all(), Equals(1))


def _release(world, version):
    world.set_role(RateRole(), version)
    return world.meter.release(["mill"], world.now)


def test_a_former_home_hands_its_tokens_over_and_stops():
    former = _World(role=_HOME)
    handovers = _release(former, 7)
    expected = Handover("mill", 1, 26_750_000, (1, 7))
    assert_that(handovers, Equals([expected]))
    assert_that(former.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    assert_that(former.meter.release(["mill"], former.now), Equals([]))
    successor = _World()
    successor.set_role(_HOME, 7)
    successor.meter.accept(handovers, successor.now)
    assert_that(successor.charge_all(), Equals(26))


# The successor is told before it has seen the table.
def test_a_handover_that_comes_first_is_kept_until_the_role_is_known():
    successor = _World()
    successor.meter.observe(successor.now)
    handover = Handover("mill", 1, 3_000_000, (1, 7))
    successor.meter.accept([handover], successor.now)
    successor.now += _milliseconds(100)
    successor.set_role(_HOME, 7)
    assert_that(successor.charge_all(), Equals(3))


# The role never comes, since the table has changed again.
def test_a_kept_handover_is_dropped_after_the_proof_limit():
    successor = _World()
    successor.meter.accept([Handover("mill", 1, 3_000_000, (1, 7))], successor.now)
    successor.wait(_PROOF_LIMIT)
    successor.set_role(_HOME, 7)
    assert_that(successor.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))
    reasons = [
        line["reason"] for line in successor.log.named("rate share not accepted")
    ]
    assert_that(reasons, Equals(["not home"]))


# The message was under way while its receiver lost and regained the share.
def test_a_handover_of_an_earlier_state_is_ignored():
    successor = _World()
    successor.set_role(_HOME, 9)
    successor.meter.accept([Handover("mill", 1, 3_000_000, (1, 7))], successor.now)
    assert_that(successor.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


# The same, but the members and the configuration changed.
@pytest.mark.parametrize("version", [(1, 7, 4), (0, 9, 5), (1, 9)])
def test_a_handover_must_not_be_earlier_in_any_part(version):
    successor = _World()
    successor.meter.set_roles({"mill": _HOME}, successor.now, (1, 8, 4))
    successor.meter.accept([Handover("mill", 1, 3_000_000, version)], successor.now)
    assert_that(successor.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


# The message is delivered twice.
def test_a_repeated_handover_adds_nothing():
    successor = _World()
    successor.set_role(_HOME, 7)
    for _ in range(2):
        handover = Handover("mill", 1, 3_000_000, (1, 7))
        successor.meter.accept([handover], successor.now)
    assert_that(successor.charge_all(), Equals(3))


# The receiver's tables became too old after it had learned of its role.
def test_a_handover_is_ignored_after_old_tables():
    successor = _World()
    successor.set_role(_HOME, 7)
    successor.meter.observe(successor.now)
    successor.now += timedelta(seconds=30)
    successor.meter.accept([Handover("mill", 1, 3_000_000, (1, 7))], successor.now)
    assert_that(successor.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


# Whoever sends a handover cannot give more than what the table gives.
@pytest.mark.parametrize("share", [1, 5])
def test_a_handover_gives_no_more_than_the_role(share):
    successor = _World()
    successor.set_role(RateRole(main_share=0.5), 7)
    handover = Handover("mill", share, 10**12, (1, 7))
    successor.meter.accept([handover], successor.now)
    assert_that(successor.charge_all(), Equals(13))


# A message of a faulty instance.
@pytest.mark.parametrize("share", [0, -1, float("nan")])
def test_a_handover_without_a_share_is_ignored(share):
    successor = _World()
    successor.set_role(_HOME, 7)
    handover = Handover("mill", share, 3_000_000, (1, 7))
    successor.meter.accept([handover], successor.now)
    assert_that(successor.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


def test_a_home_that_releases_begins_anew_and_hands_nothing_over():
    world = _World(role=_HOME)
    assert_that(world.meter.release(["mill"], world.now), Equals([]))
    assert_that(world.refusal().code, Is(ResultCode.IDENTITY_UNPROVEN))


# A flood must not fill the log.
def test_refusals_are_logged_once_a_second_with_their_count():
    world = _World(role=_HOME)
    world.charge_all()
    for _ in range(1000):
        world.refusal()
        world.refusal("other")
        world.now += _milliseconds(3)
    assert_that(world.log.named("rate refused"), HasLength(3))
    assert_that(world.log.named("rate of unknown organisation refused"), HasLength(3))


# The members change while thousands of organisations are configured.
def test_shares_of_many_organisations_are_logged_in_one_line():
    organisations = [Organisation(f"org-{i}", 1, 5, 5) for i in range(3000)]
    world = _World(organisations)
    roles = {organisation.name: _HOME for organisation in organisations}
    world.meter.set_roles(roles, world.now, (1, 1))
    world.wait(_LONG)
    lines = world.log.named("rate shares begun")
    assert_that([line["organisations"] for line in lines], Equals([3000]))
    assert_that(lines[0]["names"], HasLength(5))


def test_gauges_tell_what_was_spent_and_refused():
    world = _World([_MILL, Organisation("free")], _HOME)
    world.charge_all()
    world.refusal("other")
    assert_that(
        world.meter.gauges(),
        Equals(
            {
                "rate_organisations": 1,
                "rate_shares": 1,
                "rate_refused": 1,
                "rate_unproven": 1,
                "rate_reserve_spent": 0,
            }
        ),
    )

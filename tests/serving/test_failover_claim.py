"""Tests that at most one claim of a service is in use.

Answers are lost, instances crash, and the store is restored from copies meanwhile.
"""

from dataclasses import replace

import anyio
import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.serving import failover_claim
from goldcrestpond.serving.failover_claim import (
    CLAIM_LIFETIME,
    CLAIM_USE_LIMIT,
    ClaimBody,
    ClaimState,
    ClaimWriter,
    claim_key,
    fencing_token,
)
from goldcrestpond.serving.leftovers import (
    NOTHING_LEFT,
    ORDER_LIFETIME,
    Leftovers,
)
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.row_store import RowRevision
from goldcrestpond.serving.store_era import StoreEra

from ..line_world import ListLog
from .fake_rows import FakeRows, FakeRowStore
from .test_leadership import ms

pytestmark = pytest.mark.anyio
NAMES = ["i1", "i2", "i3"]


class _Claimant:
    """One instance, with its client of the store and its claim."""

    def __init__(self, name, rows, clock):
        self.name = name
        self.era = StoreEra(clock, ListLog(), Metrics())
        self.store = FakeRowStore(rows, self.era)
        self.writer = ClaimWriter(name, self.store, self.era, clock)
        self.held = None

    def is_active(self, now):
        return self.held is not None and self.held.is_usable(now, self.era.current)


class _World:
    """Claimants, the store, and the fencing tokens that the platform checks."""

    def __init__(self):
        self.clock = ManualClock(ms(100_000))
        self.rows = FakeRows()
        self.claimants = {name: self._claimant(name) for name in NAMES}
        self.tokens = set()
        self.highest = 0
        self.late = []
        self.faults = []

    def _claimant(self, name):
        return _Claimant(name, self.rows, self.clock)

    async def play(self, step):
        kind, name, number = step
        claimant = self.claimants[name]
        match kind:
            case "wait":
                self.clock.advance(ms(number))
            case "claim":
                await self._claim(claimant, number)
            case "late write":
                claimant.store.apply_late_writes()
            case "copy":
                self.rows.save_snapshot()
            case "restore":
                self.rows.restore_copy()
                for _ in range(number % 3):
                    self.rows.put("other", "row", b"")
            case "read era":
                await claimant.store.read("other")
            case "kill":
                self.claimants[name] = self._claimant(name)
        now = self.clock.now()
        if sum(c.is_active(now) for c in self.claimants.values()) > 1:
            self.faults.append("two claims in use")

    async def _claim(self, claimant, number):
        outcomes = iter(["answered", "lost", "late", "failed"][number % 4 :])
        claimant.store.next_outcome = lambda: next(outcomes, "answered")
        if number % 5 == 0:
            # The store is restored between the claimant's read and its write.
            claimant.store.before_answer = self._restore_once(claimant)
        try:
            claim = await claimant.writer.claim("s", "d1")
        except Exception as error:  # the outcome of the write is unknown
            assert "not answered" in str(error), error
            claim = None
        claimant.store.before_answer = lambda: None
        if claim is None:
            return
        claimant.held = claim
        if claim.token in self.tokens:
            self.faults.append("a token was issued twice")
        if claim.token < self.highest:
            self.faults.append("a token is below an earlier one")
        self.tokens.add(claim.token)
        self.highest = max(self.highest, claim.token)

    def _restore_once(self, claimant):
        def restore_once():
            claimant.store.before_answer = lambda: None
            self.rows.restore_copy()

        return restore_once


_steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["wait"] * 2
            + ["claim"] * 3
            + ["late write", "copy", "restore", "read era", "kill"]
        ),
        st.sampled_from(NAMES),
        st.integers(1, 3100),
    ),
    max_size=40,
)


def _faults(steps):
    async def body():
        world = _World()
        for step in steps:
            await world.play(step)
        return world.faults

    return anyio.run(body)


@settings(max_examples=500, deadline=None)
@given(_steps)
def test_one_claim_is_in_use_and_tokens_rise(steps):
    assert_that(_faults(steps), Equals([]))


# The store loses i1's claim while it is in use; i2 tries to claim.
LOST_CLAIM = [
    ("claim", "i1", 4),
    ("wait", "i1", 3100),
    ("claim", "i1", 4),
    ("restore", "i1", 3),
    ("claim", "i2", 4),
    ("wait", "i1", 3100),
    ("claim", "i2", 4),
]


def test_no_claim_while_one_that_the_store_lost_may_be_in_use():
    assert_that(_faults(LOST_CLAIM), Equals([]))


@pytest.mark.parametrize(
    "name, variant",
    [
        ("fencing_token", lambda revision: revision.version),
        ("_is_era_young", lambda writer: False),
    ],
)
def test_faulty_variants_are_detected(monkeypatch, name, variant):
    """Tokens without the era; no wait for claims that the store lost."""
    owner = ClaimWriter if name.startswith("_is") else failover_claim
    monkeypatch.setattr(owner, name, variant)
    assert_that(len(_faults(LOST_CLAIM)), GreaterThan(0))


def test_tokens_of_a_later_era_are_above_those_of_earlier_eras():
    assert_that(
        fencing_token(RowRevision(2, 1)),
        GreaterThan(fencing_token(RowRevision(1, 2**39))),
    )
    assert_that(fencing_token(RowRevision(0, 7)), Equals(7))


def test_claim_of_an_earlier_era_is_not_usable():
    async def body():
        world = _World()
        claimant = world.claimants["i1"]
        await claimant.store.read("other")
        world.clock.advance(CLAIM_LIFETIME)
        claim = await claimant.writer.claim("s", "d1")
        now = world.clock.now()
        assert_that(claim.is_usable(now, claimant.era.current), Is(True))
        assert_that(
            claim.is_usable(now + CLAIM_USE_LIMIT, claimant.era.current), Is(False)
        )
        world.rows.restore_copy()
        await claimant.store.read("other")
        assert_that(claim.is_usable(now, claimant.era.current), Is(False))

    anyio.run(body)


def test_condition_on_a_reused_version_does_not_match_a_claim_of_a_new_era():
    """The store is restored between a claim's read and write, and another claims."""

    async def body():
        world = _World()
        late, other = world.claimants["i1"], world.claimants["i2"]
        for claimant in (late, other):
            await claimant.store.read("other")
        world.clock.advance(CLAIM_LIFETIME)
        await late.writer.claim("s", "d1")
        version = world.rows.version

        def restore_and_claim():
            late.store.before_answer = lambda: None
            world.rows.restore_copy()
            while world.rows.version < version - 1:
                world.rows.put("other", "row", b"")
            # Another instance's claim gets the version of the pending condition.
            world.rows.put("succession", claim_key("s", world.rows.era), b"{}")

        late.store.before_answer = restore_and_claim
        claim = await late.writer.claim("s", "d1")
        assert_that(claim, Is(None))
        row = world.rows.row("succession", claim_key("s", world.rows.era))
        assert_that(row.value, Equals(b"{}"))

    anyio.run(body)


def test_claims_of_earlier_eras_are_removed():
    async def body():
        world = _World()
        claimant = world.claimants["i1"]
        await claimant.store.read("other")
        world.clock.advance(CLAIM_LIFETIME)
        await claimant.writer.claim("s", "d1")
        world.rows.save_snapshot()
        world.rows.restore_copy()
        await claimant.store.read("other")
        world.clock.advance(CLAIM_LIFETIME)
        await claimant.writer.claim("s", "d1")
        keys = [row.key for row in world.rows.table("succession")]
        assert_that(keys, Equals([claim_key("s", 2)]))

    anyio.run(body)


NOW_MS = 100_000.0
PENDING = Leftovers(NOW_MS - 5000, may_be_paused=True)
PAUSED = Leftovers(may_be_paused=True)


def _body(state, pending_since_ms=NOW_MS - 5000, holder="i1"):
    return msgspec.json.encode(
        ClaimBody(holder, "n", "d1", state, pending_since_ms=pending_since_ms)
    )


async def _claim_over(rows, name="i2"):
    """Claim the service as an instance whose process has just started."""
    clock = ManualClock(ms(100_000))
    claimant = _Claimant(name, rows, clock)
    rows.now_ms = NOW_MS
    await claimant.store.read("other")
    await claimant.writer.read_unended()
    clock.advance(CLAIM_LIFETIME)
    claim = await claimant.writer.claim("s", "d1")
    if claim is None:  # it has seen the row of another instance
        clock.advance(CLAIM_LIFETIME)
        claim = await claimant.writer.claim("s", "d1")
    return claimant, claim


# Failure: what the predecessor of a claim has left is lost with its row: an order is
# carried out over later commits, or a replica stays paused.
@pytest.mark.parametrize("holder", ["i1", "i2"], ids=["another", "the same"])
@pytest.mark.parametrize(
    ("value", "left"),
    [
        (_body(ClaimState.OPEN), PENDING),
        (_body(ClaimState.OPEN, NOW_MS - ORDER_LIFETIME / ms(1)), PAUSED),
        (_body(ClaimState.PAUSED), PAUSED),
        (_body(ClaimState.ENDED), NOTHING_LEFT),
        (_body(ClaimState.OPEN, 0.0), Leftovers(NOW_MS, may_be_paused=True)),
        (_body(ClaimState.UNKNOWN), Leftovers(NOW_MS, may_be_paused=True)),
        (b"?", Leftovers(NOW_MS, may_be_paused=True)),
    ],
    ids=["open", "late", "paused", "ended", "no time", "no state", "unreadable"],
)
async def test_claim_takes_over_what_its_predecessor_left(value, left, holder):
    rows = FakeRows()
    rows.put(
        "succession", claim_key("s", rows.era), value.replace(b"i1", holder.encode())
    )
    _, claim = await _claim_over(rows)
    assert_that(claim.left, Equals(left))


# Failure: as above, where the store has come back from a copy since.
async def test_claim_takes_over_what_a_claim_of_an_earlier_era_left():
    rows = FakeRows()
    rows.put("succession", claim_key("s", rows.era), _body(ClaimState.OPEN))
    rows.save_snapshot()
    rows.restore_copy()
    rows.put("succession", claim_key("s", rows.era + 1), _body(ClaimState.UNKNOWN))
    _, claim = await _claim_over(rows)
    assert_that(claim.left, Equals(PENDING))


# Failure: as above, where the write of the claim was applied without an answer.
@pytest.mark.parametrize("outcome", ["lost", "late"])
async def test_claim_that_was_not_answered_takes_over_what_was_left(outcome):
    rows = FakeRows()
    rows.put("succession", claim_key("s", rows.era), _body(ClaimState.OPEN))
    clock = ManualClock(ms(100_000))
    claimant = _Claimant("i2", rows, clock)
    rows.now_ms = NOW_MS
    await claimant.store.read("other")
    clock.advance(CLAIM_LIFETIME)
    await claimant.writer.claim("s", "d1")
    clock.advance(CLAIM_LIFETIME)
    outcomes = iter([outcome])
    claimant.store.next_outcome = lambda: next(outcomes, "answered")
    claim = await claimant.writer.claim("s", "d1")
    claimant.store.apply_late_writes()
    assert_that(claim.left, Equals(PENDING))


# Failure: an attempt that ordered nothing ends the order of the one before; or makes it
# seem newer than it is, so that nobody sends commits for as long as attempts are made.
async def test_claim_that_is_given_up_leaves_what_was_left():
    rows = FakeRows()
    rows.put("succession", claim_key("s", rows.era), _body(ClaimState.OPEN))
    claimant, claim = await _claim_over(rows)
    await claimant.writer.close(claim)
    again = await claimant.writer.claim("s", "d1")
    assert_that(again.left, Equals(PENDING))
    renewed = await claimant.writer.renew(again)
    assert_that(renewed.left, Equals(PENDING))
    # While a claim is in use an order may be made under it.
    body = msgspec.json.decode(rows.table("succession")[0].value, type=ClaimBody)
    assert_that(body.pending_since_ms >= NOW_MS, Is(True))
    await claimant.writer.close(replace(renewed, left=NOTHING_LEFT))
    assert_that(await claimant.writer.read_unended(), Equals({}))

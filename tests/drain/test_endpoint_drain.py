"""The decisions of a drain, and variants that must be caught."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from goldcrestpond.drain.drain_action import DrainAction
from goldcrestpond.drain.drain_phase import DrainPhase
from goldcrestpond.drain.endpoint_drain import EndpointDrain

_WORK_LIMIT = timedelta(seconds=3)
_STEP = timedelta(milliseconds=500)  # a keeper looks more often than this
_STEPS_MS = st.lists(st.integers(1, 500), min_size=1, max_size=60)
_CASES = {
    "steps_ms": _STEPS_MS.map(lambda steps: steps + [500] * 10),
    "primary_until_ms": st.integers(0, 12_000),
    "running_until_ms": st.integers(0, 12_000),
    "deadline_ms": st.integers(100, 8000),
}


def _check_drain(make_drain, steps_ms, primary_until_ms, running_until_ms, deadline_ms):
    ordered_at = timedelta(seconds=100)
    deadline = timedelta(milliseconds=deadline_ms)
    drain = make_drain(ordered_at, deadline)
    now = ordered_at
    seen = []
    for step_ms in steps_ms:
        now += timedelta(milliseconds=step_ms)
        is_primary = now - ordered_at < timedelta(milliseconds=primary_until_ms)
        running = int(now - ordered_at < timedelta(milliseconds=running_until_ms))
        actions = drain.update(is_primary, running, now)
        seen += actions
        waited = now - ordered_at
        if not is_primary or waited >= _WORK_LIMIT:
            assert DrainAction.REFUSE_WORK in seen, "new work after 3 s"
        elif DrainAction.REFUSE_WORK in actions:
            assert waited >= min(deadline, _WORK_LIMIT - _STEP), "no handover"
        if DrainAction.CLOSE_CONNECTIONS in actions:
            assert waited >= deadline and running, "cut before the deadline"
        if drain.phase is DrainPhase.DONE:
            assert DrainAction.REFUSE_WORK in seen
        if waited >= max(deadline, _WORK_LIMIT):
            assert drain.phase is DrainPhase.DONE, "the order has no end"
        assert seen.count(DrainAction.REFUSE_WORK) <= 1
        assert seen.count(DrainAction.CLOSE_CONNECTIONS) <= 1


@given(**_CASES)
def test_drain_hands_over_refuses_and_ends_in_time(**case):
    _check_drain(EndpointDrain, **case)


class _WaitsForHandoverForEver(EndpointDrain):
    def update(self, is_primary, running_count, now):
        if is_primary:
            return []
        return super().update(is_primary, running_count, now)


class _SkipsTheHandover(EndpointDrain):
    def update(self, is_primary, running_count, now):
        return super().update(False, running_count, now)


class _CutsAtOnce(EndpointDrain):
    def __init__(self, ordered_at, deadline):
        super().__init__(ordered_at, deadline)
        self._cut_at = ordered_at


class _NeverCuts(EndpointDrain):
    def __init__(self, ordered_at, deadline):
        super().__init__(ordered_at, deadline)
        self._cut_at = ordered_at + timedelta(days=1)


@pytest.mark.parametrize(
    "variant", [_WaitsForHandoverForEver, _SkipsTheHandover, _CutsAtOnce, _NeverCuts]
)
def test_broken_drain_is_caught(variant):
    @given(**_CASES)
    def check(**case):
        _check_drain(variant, **case)

    with pytest.raises(AssertionError):
        check()

"""Property test of the drain state machine, and faulty variants that it must detect."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from goldcrestpond.drain.drain_action import DrainAction
from goldcrestpond.drain.drain_phase import DrainPhase
from goldcrestpond.drain.endpoint_drain import EndpointDrain

_MAX_NEW_WORK = timedelta(seconds=3)  # after it, new work is refused in any case
_STEP = timedelta(milliseconds=500)  # longest time between two updates of a drain
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
    all_actions = []
    for step_ms in steps_ms:
        now += timedelta(milliseconds=step_ms)
        is_primary = now - ordered_at < timedelta(milliseconds=primary_until_ms)
        running = int(now - ordered_at < timedelta(milliseconds=running_until_ms))
        actions = drain.update(is_primary, running, now)
        all_actions += actions
        elapsed = now - ordered_at
        if not is_primary or elapsed >= _MAX_NEW_WORK:
            assert DrainAction.REFUSE_NEW_WORK in all_actions, "new work after 3 s"
        elif DrainAction.REFUSE_NEW_WORK in actions:
            assert elapsed >= min(deadline, _MAX_NEW_WORK - _STEP), "no handover"
        if DrainAction.CLOSE_CONNECTIONS in actions:
            assert elapsed >= deadline and running, "closed before the deadline"
        if drain.phase is DrainPhase.DONE:
            assert DrainAction.REFUSE_NEW_WORK in all_actions
        if elapsed >= max(deadline, _MAX_NEW_WORK):
            assert drain.phase is DrainPhase.DONE, "the drain does not end"
        assert all_actions.count(DrainAction.REFUSE_NEW_WORK) <= 1
        assert all_actions.count(DrainAction.CLOSE_CONNECTIONS) <= 1


@given(**_CASES)
def test_drain_waits_for_the_handover_and_ends_by_its_deadline(**case):
    _check_drain(EndpointDrain, **case)


class _WaitsForHandoverForever(EndpointDrain):
    def update(self, is_primary, running_count, now):
        if is_primary:
            return []
        return super().update(is_primary, running_count, now)


class _SkipsHandover(EndpointDrain):
    def update(self, is_primary, running_count, now):
        return super().update(False, running_count, now)


class _ClosesAtOnce(EndpointDrain):
    def __init__(self, ordered_at, deadline):
        super().__init__(ordered_at, deadline)
        self._close_at = ordered_at


class _NeverCloses(EndpointDrain):
    def __init__(self, ordered_at, deadline):
        super().__init__(ordered_at, deadline)
        self._close_at = ordered_at + timedelta(days=1)


@pytest.mark.parametrize(
    "variant", [_WaitsForHandoverForever, _SkipsHandover, _ClosesAtOnce, _NeverCloses]
)
def test_faulty_drain_is_detected(variant):
    @given(**_CASES)
    def check(**case):
        _check_drain(variant, **case)

    with pytest.raises(AssertionError):
        check()

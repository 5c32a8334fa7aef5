"""The shutdown state machine in random orders of events, and faulty variants."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from goldcrestpond.drain.shutdown import Shutdown
from goldcrestpond.drain.shutdown_action import ShutdownAction

_TIMEOUT = timedelta(seconds=30)
_EVENTS = st.lists(
    st.tuples(st.sampled_from(["terminate", "tick", "leave"]), st.integers(0, 20_000)),
    max_size=30,
)


def _check_shutdown(events, make_shutdown):
    shutdown = make_shutdown(_TIMEOUT)
    now = timedelta(0)
    caller_count = 5
    started_at = None
    all_actions = []
    for event, step_ms in events:
        now += timedelta(milliseconds=step_ms)
        if event == "leave":
            caller_count = max(0, caller_count - 1)
            continue
        if event == "terminate":
            actions = shutdown.start(now)
            started_at = now if started_at is None else started_at
        else:
            actions = shutdown.tick(caller_count, now)
        for action in actions:
            assert started_at is not None, "an action before the SIGTERM"
            assert action not in all_actions, "an action was returned twice"
            is_late = now >= started_at + _TIMEOUT
            if action is ShutdownAction.CLOSE_REMAINING_CALLERS:
                assert is_late and caller_count, "closed before the deadline"
            if action is ShutdownAction.EXIT:
                assert (
                    not caller_count
                    or ShutdownAction.CLOSE_REMAINING_CALLERS in all_actions
                )
        all_actions += actions
        if event == "tick" and started_at is not None and not caller_count:
            assert ShutdownAction.EXIT in all_actions, "nothing is left to wait for"
        if event == "tick" and started_at is not None and now >= started_at + _TIMEOUT:
            assert {ShutdownAction.EXIT, ShutdownAction.CLOSE_REMAINING_CALLERS} & set(
                all_actions
            )
    if started_at is not None:
        first_actions = [
            ShutdownAction.STOP_ACCEPTING,
            ShutdownAction.CLOSE_IDLE_CALLERS,
        ]
        assert all_actions[:2] == first_actions


@given(events=_EVENTS)
def test_shutdown_closes_no_busy_caller_before_its_deadline(events):
    _check_shutdown(events, Shutdown)


class _ShortenedBySecondSignal(Shutdown):
    def start(self, now):
        actions = super().start(now)
        if not actions:
            self._deadline = now
        return actions


class _ExtendedBySecondSignal(Shutdown):
    def start(self, now):
        actions = super().start(now)
        self._deadline = now + self._timeout
        return actions


class _WaitsForever(Shutdown):
    def tick(self, caller_count, now):
        return super().tick(caller_count, now) if caller_count == 0 else []


class _ExitsAtOnce(Shutdown):
    def tick(self, caller_count, now):
        return super().tick(0, now)


@pytest.mark.parametrize(
    "variant",
    [
        _ShortenedBySecondSignal,
        _ExtendedBySecondSignal,
        _WaitsForever,
        _ExitsAtOnce,
    ],
)
def test_faulty_shutdown_is_detected(variant):
    @given(events=_EVENTS)
    def check(events):
        _check_shutdown(events, variant)

    with pytest.raises(AssertionError):
        check()

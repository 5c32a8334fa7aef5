"""The decisions of a graceful shutdown in every order of events."""

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
    callers = 5
    started = None
    seen = []
    for event, step_ms in events:
        now += timedelta(milliseconds=step_ms)
        if event == "leave":
            callers = max(0, callers - 1)
            continue
        if event == "terminate":
            actions = shutdown.start(now)
            started = now if started is None else started
        else:
            actions = shutdown.tick(callers, now)
        for action in actions:
            assert started is not None, "acted before it was told"
            assert action not in seen, "a step was taken twice"
            is_late = now >= started + _TIMEOUT
            if action is ShutdownAction.CLOSE_REMAINING_CALLERS:
                assert is_late and callers, "a request was cut before the deadline"
            if action is ShutdownAction.EXIT:
                assert not callers or ShutdownAction.CLOSE_REMAINING_CALLERS in seen
        seen += actions
        if event == "tick" and started is not None and not callers:
            assert ShutdownAction.EXIT in seen, "nothing is left to wait for"
        if event == "tick" and started is not None and now >= started + _TIMEOUT:
            assert {ShutdownAction.EXIT, ShutdownAction.CLOSE_REMAINING_CALLERS} & set(
                seen
            )
    if started is not None:
        first = [ShutdownAction.STOP_ACCEPTING, ShutdownAction.CLOSE_IDLE_CALLERS]
        assert seen[:2] == first


@given(events=_EVENTS)
def test_shutdown_cuts_nothing_before_its_deadline(events):
    _check_shutdown(events, Shutdown)


class _HastenedBySecondSignal(Shutdown):
    def start(self, now):
        actions = super().start(now)
        if not actions:
            self._deadline = now
        return actions


class _DelayedBySecondSignal(Shutdown):
    def start(self, now):
        actions = super().start(now)
        self._deadline = now + self._timeout
        return actions


class _WaitsForEver(Shutdown):
    def tick(self, callers_left, now):
        return super().tick(callers_left, now) if callers_left == 0 else []


class _ExitsAtOnce(Shutdown):
    def tick(self, callers_left, now):
        return super().tick(0, now)


@pytest.mark.parametrize(
    "variant",
    [
        _HastenedBySecondSignal,
        _DelayedBySecondSignal,
        _WaitsForEver,
        _ExitsAtOnce,
    ],
)
def test_broken_shutdown_is_caught(variant):
    @given(events=_EVENTS)
    def check(events):
        _check_shutdown(events, variant)

    with pytest.raises(AssertionError):
        check()

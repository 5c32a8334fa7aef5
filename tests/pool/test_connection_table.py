"""The counts that a connection table keeps match the states of its connections."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.pool.connection_state import ConnectionState
from goldcrestpond.pool.connection_table import ConnectionTable

_STEP = st.tuples(
    st.integers(1, 6), st.one_of(st.sampled_from(ConnectionState), st.none())
)


@given(st.lists(_STEP, max_size=40))
def test_counts_and_idle_connections_follow_every_change_of_state(steps):
    table = ConnectionTable()
    for _ in range(4):
        table.add(1, timedelta(0))
    for at, (number, state) in enumerate(steps):
        connection = table.get(number)
        if connection is None:
            table.add(1, timedelta(at))
        elif state is None:
            table.remove(number)
        else:
            connection.last_active_at = timedelta(at)
            table.move(connection, state, timedelta(at))
        states = [each.state for each in table]
        counts = [table.count(state) for state in ConnectionState]
        assert_that(counts, Equals([states.count(state) for state in ConnectionState]))
        idle = [each for each in table if each.state is ConnectionState.IDLE]
        expected = max(idle, key=lambda each: each.last_active_at, default=None)
        assert_that(table.most_recently_active_idle(), Equals(expected))


@given(st.lists(st.tuples(st.integers(1, 6), st.sampled_from(ConnectionState))))
def test_idle_connections_are_kept_by_organisation(steps):
    table = ConnectionTable()
    for number in range(6):
        table.add(1, timedelta(0), "ab"[number % 2])
    for at, (number, state) in enumerate(steps):
        table.move(table.get(number), state, timedelta(at))
        idle = [each for each in table if each.state is ConnectionState.IDLE]
        assert_that(
            sorted(c.connection_id for c in table.idle()),
            Equals([c.connection_id for c in idle]),
        )
        for name in "ab":
            own = [each for each in idle if each.organisation == name]
            last = table.last_used_idle(name)
            assert_that(last is None, Equals(not own))
            if last is not None:
                latest = max(each.state_since for each in own)
                assert_that(
                    (last.organisation, last.state_since), Equals((name, latest))
                )

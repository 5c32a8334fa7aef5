"""With many groups, an instance watches only those that requests use."""

from datetime import timedelta

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.placement.group_use import (
    GROUP_IDLE_TIMEOUT,
    WATCH_ALL_MAX_GROUPS,
    GroupUse,
)

from .site import connect_with_psycopg, run_fuel_site
from .test_configuration_change import group_spec

MANY_GROUPS = [f"group-{number}" for number in range(WATCH_ALL_MAX_GROUPS + 1)]
SECOND = timedelta(seconds=1)


@given(
    st.lists(st.tuples(st.sampled_from(MANY_GROUPS), st.integers(0, 400)), max_size=30),
    st.integers(0, 400),
)
def test_of_many_groups_only_recently_used_ones_are_watched(uses, later_s):
    group_use = GroupUse()
    now = timedelta(0)
    used_at = {}
    for group, pause_s in uses:
        now += pause_s * SECOND
        group_use.record_use(group, now)
        used_at[group] = now
    now += later_s * SECOND
    expected = {
        group for group, time in used_at.items() if now - time <= GROUP_IDLE_TIMEOUT
    }
    assert_that(group_use.groups_to_watch(MANY_GROUPS, now), Equals(expected))


def test_few_groups_are_all_watched():
    few_groups = MANY_GROUPS[:WATCH_ALL_MAX_GROUPS]
    assert_that(
        GroupUse().groups_to_watch(few_groups, timedelta(0)), Equals(set(few_groups))
    )


@pytest.mark.anyio
async def test_group_is_watched_and_serves_from_its_first_request():
    async with run_fuel_site(proxy_count=1) as site:
        proxy = site.proxies[0]
        configuration = proxy.configuration.current
        spec = group_spec(site)
        groups = {name: spec for name in MANY_GROUPS} | {"fuel": spec}
        proxy.services.apply(
            type(configuration)(configuration.revision, configuration.routes, groups)
        )
        assert_that(proxy.services.count, Equals(0))
        async with await connect_with_psycopg(site) as caller:
            with anyio.fail_after(20):
                await caller.execute("SELECT 1")
        assert_that(proxy.services.count, Equals(1))

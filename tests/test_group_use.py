"""Groups in use are watched, and no others where there are many."""

from datetime import timedelta

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.placement.group_use import (
    EAGER_GROUP_LIMIT,
    USE_LIFETIME,
    GroupUse,
)

from .site import fuel_site, psycopg_connection
from .test_configuration_change import group_spec

MANY = [f"group-{number}" for number in range(EAGER_GROUP_LIMIT + 1)]
SECOND = timedelta(seconds=1)


@given(
    st.lists(st.tuples(st.sampled_from(MANY), st.integers(0, 400)), max_size=30),
    st.integers(0, 400),
)
def test_groups_in_use_are_wanted_and_no_others(uses, later_s):
    use = GroupUse()
    now = timedelta(0)
    last = {}
    for group, pause_s in uses:
        now += pause_s * SECOND
        use.record_use(group, now)
        last[group] = now
    now += later_s * SECOND
    expected = {group for group, at in last.items() if now - at <= USE_LIFETIME}
    assert_that(use.groups_to_watch(MANY, now), Equals(expected))


def test_few_groups_are_all_wanted():
    few = MANY[:EAGER_GROUP_LIMIT]
    assert_that(GroupUse().groups_to_watch(few, timedelta(0)), Equals(set(few)))


@pytest.mark.anyio
async def test_one_of_many_groups_is_watched_and_serves():
    async with fuel_site(proxy_count=1) as site:
        proxy = site.proxies[0]
        configuration = proxy.configuration.current
        spec = group_spec(site)
        groups = {name: spec for name in MANY} | {"fuel": spec}
        proxy.services.apply(
            type(configuration)(configuration.revision, configuration.routes, groups)
        )
        assert_that(proxy.services.count, Equals(0))
        async with await psycopg_connection(site) as caller:
            with anyio.fail_after(20):
                await caller.execute("SELECT 1")
        assert_that(proxy.services.count, Equals(1))

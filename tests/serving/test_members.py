"""Tests of the live instances by their heartbeat rows."""

from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.serving.members import (
    HEARTBEAT_INTERVAL,
    MISSED_HEARTBEATS,
    Member,
    Members,
    encode_member,
)
from goldcrestpond.settings.address import Address

from .row import row
from .test_leadership import ms


def test_member_is_live_until_it_misses_several_heartbeats():
    members = Members()
    members.replace([row("a", 1), row("b", 2)], ms(0), 0)
    members.replace([row("a", 1), row("b", 5)], HEARTBEAT_INTERVAL, 0)
    limit = HEARTBEAT_INTERVAL * MISSED_HEARTBEATS

    def live(now):
        return [member.name for member in members.live(now)]

    assert_that(live(limit - ms(1)), Equals(["a", "b"]))
    assert_that(live(limit), Equals(["b"]))
    assert_that(live(limit + HEARTBEAT_INTERVAL + timedelta(1)), Equals([]))


def test_row_contains_the_address_and_an_undecodable_row_counts_as_a_member():
    address = Address("127.0.0.1", 7440)
    member = Member("a", "z", address)
    members = Members()
    members.replace(
        [row("a", 1, encode_member(member, 0)), row("b", 2, b"?")], ms(0), 0
    )
    assert_that(members.live(ms(1)), Equals([member, Member("b", "", None)]))

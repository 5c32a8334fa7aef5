"""Choice of the database that runs a read."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.serving.choose_database import (
    LEADER_COST,
    ReadCandidate,
    choose_database,
)

from .test_leadership import ms


def candidate(
    database_id, wait_ms=0, is_leader=False, has_min_position=True, is_avoided=False
):
    return ReadCandidate(
        database_id, ms(wait_ms), is_leader, has_min_position, is_avoided
    )


def test_replica_is_preferred_until_the_leader_is_much_faster():
    rng = random.Random(1)
    leader = candidate("l", is_leader=True)
    just_slower = candidate("r", wait_ms=LEADER_COST / ms(1) - 1)
    assert_that(choose_database([leader, just_slower], rng), Is(just_slower))
    slow = candidate("r", wait_ms=LEADER_COST / ms(1) + 1)
    assert_that(choose_database([leader, slow], rng), Is(leader))


def test_avoided_database_is_chosen_only_if_there_is_no_other():
    rng = random.Random(1)
    avoided = candidate("a", is_avoided=True)
    slow = candidate("b", wait_ms=400)
    assert_that(choose_database([avoided, slow], rng), Is(slow))
    assert_that(choose_database([avoided], rng), Is(avoided))
    assert_that(choose_database([], rng), Is(None))

"""Whose load on a database a request sees."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.relay.switched_pool import SwitchedPool
from goldcrestpond.routing.database_load import DatabaseLoad

OWN = DatabaseLoad(3, 0, 1, 5, 20, is_full=True)
BORROWED = DatabaseLoad(1, 0, 1, 5, 20)


class _Pool:
    def __init__(self, load):
        self.load = lambda slots, organisation="": load


class _AtHomes:
    def is_home(self, organisation):
        return organisation == "here"


# Failure: the pace of this holder's own pool steers the reads of an organisation that
# is served elsewhere.
@pytest.mark.parametrize(
    ("is_holder", "organisation", "load"),
    [
        (True, "", OWN),
        (False, "", BORROWED),
        (True, "here", OWN),
        (True, "elsewhere", BORROWED),
        (False, "elsewhere", BORROWED),
    ],
)
def test_load_is_that_of_the_connections_that_will_be_used(
    is_holder, organisation, load
):
    pool = SwitchedPool(_Pool(OWN), _Pool(BORROWED), lambda: is_holder, _AtHomes())
    assert_that(pool.load(5, organisation), Equals(load))

"""Who is asked for a service's connections."""

from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.relay.holder import DENIAL_MEMORY
from goldcrestpond.relay.holders import Holders
from goldcrestpond.serving.members import Member
from goldcrestpond.settings.address import Address

from ..line_world import ListLog

_MEMBERS = [Member(f"i{n}", "z1", Address("127.0.0.1", n)) for n in range(1, 5)]
_WAIT = timedelta(seconds=1)
_DENIED = messages.Refused(ResultCode.PEER_HOLDS_NOTHING.number, "", 0)
_NO_LEADER = messages.Refused(ResultCode.NO_PRIMARY.number, "", 0)


class _Channel:
    def __init__(self, response):
        self._response = response

    async def ask(self, message):
        return self._response


@pytest.fixture
def clock():
    return ManualClock(timedelta(seconds=9))


@pytest.fixture
def holders(clock):
    made = Holders("i0", clock, None, ListLog())
    for service in ("s", "t"):
        made.assign(service, _MEMBERS, 4)
    return made


def _names(holders, service):
    return sorted(holder.name for holder in holders.other_holders(service))


def _answer(holders, name, response, service="s"):
    holder = next(h for h in holders.other_holders(service) if h.name == name)
    question = messages.Prove(service, 1.0)
    anyio.run(holder.ask, _Channel(response), question, _WAIT)


def test_one_that_denies_is_left_out_for_that_service(holders, clock):
    """Views of the members differ: one that is asked does not hold the service."""
    _answer(holders, "i2", _DENIED)
    assert_that(_names(holders, "s"), Equals(["i1", "i3", "i4"]))
    assert_that(_names(holders, "t"), Equals(["i1", "i2", "i3", "i4"]))
    clock.advance(DENIAL_MEMORY)
    assert_that(_names(holders, "s"), Equals(["i1", "i2", "i3", "i4"]))


def test_all_are_asked_again_once_all_have_denied(holders):
    for name in ("i1", "i2", "i3", "i4"):
        _answer(holders, name, _DENIED)
    assert_that(_names(holders, "s"), Equals(["i1", "i2", "i3", "i4"]))


def test_other_refusals_leave_it_among_those_asked(holders):
    _answer(holders, "i2", _NO_LEADER)
    assert_that(_names(holders, "s"), Equals(["i1", "i2", "i3", "i4"]))

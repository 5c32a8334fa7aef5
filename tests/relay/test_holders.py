"""Which holders are asked for connections to a service."""

from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.relay.holder import DENIAL_RETENTION
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

    async def send_request(self, message):
        return self._response


@pytest.fixture
def clock():
    return ManualClock(timedelta(seconds=9))


@pytest.fixture
def holders(clock):
    holders = Holders("i0", clock, None, ListLog())
    for service in ("s", "t"):
        holders.assign(service, [member.name for member in _MEMBERS], _MEMBERS)
    return holders


def _names(holders, service):
    return sorted(holder.name for holder in holders.other_holders(service))


def _receive_response(holders, name, response, service="s"):
    holder = next(h for h in holders.other_holders(service) if h.name == name)
    request = messages.Prove(service, 1.0)
    anyio.run(holder.send_request, _Channel(response), request, _WAIT)


# Guards against: an instance keeps asking one that does not hold the service, because
# the two know different members.
def test_holder_that_denies_a_service_is_left_out_for_that_service(holders, clock):
    _receive_response(holders, "i2", _DENIED)
    assert_that(_names(holders, "s"), Equals(["i1", "i3", "i4"]))
    assert_that(_names(holders, "t"), Equals(["i1", "i2", "i3", "i4"]))
    clock.advance(DENIAL_RETENTION)
    assert_that(_names(holders, "s"), Equals(["i1", "i2", "i3", "i4"]))


def test_all_holders_are_asked_again_after_all_have_denied(holders):
    for name in ("i1", "i2", "i3", "i4"):
        _receive_response(holders, name, _DENIED)
    assert_that(_names(holders, "s"), Equals(["i1", "i2", "i3", "i4"]))


def test_holder_that_refuses_for_another_reason_is_still_asked(holders):
    _receive_response(holders, "i2", _NO_LEADER)
    assert_that(_names(holders, "s"), Equals(["i1", "i2", "i3", "i4"]))

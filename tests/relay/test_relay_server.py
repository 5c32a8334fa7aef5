"""What a holder answers to other instances."""

from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.relay.relay_server import _ChannelSession

from ..serving.test_leadership import database
from ..serving.test_load_patterns import make_service

pytestmark = pytest.mark.anyio


# Failure: a database leaves, and its home has dropped it before the caller's instance
# has read that: another holder that is behind must not be asked to give it new work.
@pytest.mark.parametrize(
    ("organisation", "database_id", "code"),
    [
        ("acme", "r1", ResultCode.ENDPOINT_LEAVING),
        ("", "r1", ResultCode.ENDPOINT_UNREACHABLE),
        ("acme", "not yet listed", ResultCode.ENDPOINT_UNREACHABLE),
    ],
)
async def test_database_that_was_dropped_is_leaving_for_an_organisation(
    clock, organisation, database_id, code
):
    service = make_service(clock)
    del service.databases["r1"]
    service.record_removed(database("r1"))
    directory = SimpleNamespace(services={"s": service}, holds=lambda name: True)
    session = _ChannelSession(None, directory, None, None)
    request = messages.Lend("s", database_id, "c", "short", 100.0, 1, organisation)
    with pytest.raises(CodedError) as caught:
        await session._respond(request)
    assert_that(caught.value.code, Is(code))

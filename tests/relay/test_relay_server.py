"""What a holder answers to other instances."""

from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.relay import messages
from goldcrestpond.relay.relay_server import _ChannelSession
from goldcrestpond.serving.commit_block import CommitBlock
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.transaction_state import TransactionState

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


class _IdleLink:
    state = TransactionState.IDLE

    async def execute(self, statement, shape, min_position):
        return Reply(position=LogPosition(1, 500))


def _execution(shape):
    kind = StatementKind.WRITE if shape is None else StatementKind.EXECUTE
    is_write = shape is None  # the declaration of a prepared one is in its shape
    return messages.Execute("id", kind, "", "s1", "1a4", is_write, shape, None)


# Failure: a prepared write over a lent connection is sent, and acknowledged, while its
# holder blocks commits; the holder doesn't count its position either.
@pytest.mark.parametrize("shape", [None, (True, "q2c")])
async def test_writes_over_a_lent_connection_are_blocked_and_counted(clock, shape):
    service = make_service(clock)
    directory = SimpleNamespace(service=lambda name: service)
    session = _ChannelSession(None, directory, None, None)
    session._served = SimpleNamespace(database=SimpleNamespace(service="s"))
    reply = await session._execute(_IdleLink(), _execution(shape))
    acknowledged = service.commit_tracker.acknowledged
    assert_that((reply.position, acknowledged), Equals((LogPosition(1, 500),) * 2))
    service.commit_tracker.block_commits(CommitBlock("s", 7, "d1"), clock.now())
    with pytest.raises(CodedError) as caught:
        await session._execute(_IdleLink(), _execution(shape))
    assert_that(caught.value.code, Is(ResultCode.NO_PRIMARY))

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
from goldcrestpond.serving.error_outcome import NOT_RUN
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.transaction_state import TransactionState

from ..serving.test_leadership import database
from ..serving.test_load_patterns import make_service

pytestmark = pytest.mark.anyio
_SERVING = SimpleNamespace(is_stopped=False)
_STOPPED = SimpleNamespace(is_stopped=True)


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
    session = _ChannelSession(None, directory, None, _SERVING)
    request = messages.Lend("s", database_id, "c", "short", 100.0, 1, organisation)
    with pytest.raises(CodedError) as caught:
        await session._respond(request)
    assert_that(caught.value.code, Is(code))


class _IdleLink:
    state = TransactionState.IDLE

    def __init__(self):
        self.execute_count = 0

    async def execute(self, statement, shape, min_position):
        self.execute_count += 1
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
    session = _ChannelSession(None, directory, None, _SERVING)
    session._served = SimpleNamespace(database=SimpleNamespace(service="s"))
    reply = await session._execute(_IdleLink(), _execution(shape))
    acknowledged = service.commit_tracker.acknowledged
    assert_that((reply.position, acknowledged), Equals((LogPosition(1, 500),) * 2))
    service.commit_tracker.block_commits(CommitBlock("s", 7, "d1"), clock.now())
    link = _IdleLink()
    reply = await session._execute(link, _execution(shape))
    assert_that((reply.error, link.execute_count), Equals((ResultCode.NO_PRIMARY, 0)))


# Failure: a COMMIT that a holder doesn't send, as it blocks commits, is reported as an
# error of the channel, which the caller's instance must take for an unknown outcome.
async def test_commit_that_is_not_sent_is_answered_as_not_run(clock):
    service = make_service(clock)
    service.commit_tracker.block_commits(CommitBlock("s", 7, "d1"), clock.now())
    log = SimpleNamespace(decision=lambda event, **fields: None)
    directory = SimpleNamespace(service=lambda name: service, log=log)
    channel = _Channel([_COMMIT])
    session = _ChannelSession(channel, directory, None, _SERVING)
    link = _OpenLink(TransactionState.OPEN)
    session._link, session._served = link, _Served()
    with pytest.raises(CodedError):
        await session.serve()
    reply = messages.to_reply(channel.responses[0])
    assert_that(reply.error in NOT_RUN, Is(True))
    assert_that((reply.state, link.calls), Equals((TransactionState.OPEN, [])))
    assert_that(link.is_broken, Is(False))


class _OpenLink:
    """A link inside a transaction; it records what is done with it."""

    is_broken = False

    def __init__(self, state):
        self.state = state
        self.calls = []

    async def rollback(self):
        self.calls.append("rollback")
        self.state = TransactionState.IDLE

    async def execute(self, statement, shape, min_position):
        self.calls.append("execute")
        return Reply(state=self.state)


class _Served:
    database_id = "d1"
    database = SimpleNamespace(service="s")

    def __init__(self):
        self.pool = SimpleNamespace(
            release=lambda link: None, resume=lambda link: None, suspend=lambda link: 0
        )

    def record_reply(self, link, reply):
        pass


class _Channel:
    """Delivers requests one after the other, and keeps the responses."""

    def __init__(self, requests):
        self._requests = list(requests)
        self.responses = []

    async def receive(self):
        if not self._requests:
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, "over")
        return messages.encode(self._requests.pop(0))[messages.LENGTH_BYTES :]

    async def send(self, response):
        self.responses.append(response)


async def _serve_while_ending(link, *requests):
    log = SimpleNamespace(decision=lambda event, **fields: None)
    channel = _Channel(requests)
    directory = SimpleNamespace(log=log)
    session = _ChannelSession(channel, directory, None, _STOPPED)
    session._link, session._served = link, _Served()
    if link.state is TransactionState.OPEN and len(requests) > 1:
        await session.end_transaction()
    with pytest.raises(CodedError):
        await session.serve()
    return session, channel.responses


_COMMIT = messages.Execute(
    "id", StatementKind.COMMIT, "COMMIT", "", "", False, None, None
)
_READ = messages.Execute("id", StatementKind.READ, "READ a", "", "", False, None, None)


# Failure: a transaction of another instance's caller goes on at a holder that ends, and
# its COMMIT is cut; or that caller isn't told that nothing of it is kept.
async def test_holder_that_ends_rolls_transactions_of_others_back():
    link = _OpenLink(TransactionState.OPEN)
    session, responses = await _serve_while_ending(
        link, _READ, _COMMIT, messages.Rollback()
    )
    assert_that(link.calls, Equals(["rollback"]))
    errors = [messages.to_reply(each).error for each in responses]
    assert_that(errors, Equals([ResultCode.ROLLED_BACK, ResultCode.ROLLED_BACK, None]))
    assert_that(session.has_work, Is(False))


# Failure: a statement that was running when the holder began to end is cut, or the
# transaction goes on after its answer.
async def test_holder_that_ends_answers_a_statement_before_it_rolls_back():
    link = _OpenLink(TransactionState.OPEN)
    _, responses = await _serve_while_ending(link, _READ)
    assert_that(link.calls, Equals(["execute", "rollback"]))
    assert_that(messages.to_reply(responses[0]).error, Is(None))


# Failure: a holder that ends sends new work to a database, and cuts it.
async def test_holder_that_ends_sends_nothing_new_to_a_database():
    link = _OpenLink(TransactionState.IDLE)
    lend = messages.Lend("s", "d1", "c", "short", 100.0, 1, "")
    _, responses = await _serve_while_ending(
        link, _READ, messages.Begin(True, None), lend
    )
    assert_that(link.calls, Equals([]))
    errors = [messages.to_reply(each).error for each in responses[:2]]
    assert_that(errors, Equals([ResultCode.ENDPOINT_BUSY] * 2))
    code = ResultCode.PEER_HOLDS_NOTHING.number
    assert_that(responses[2].code, Equals(code))


# Failure: a holder does not tell that a commit is still in flight, and a switchover
# that must wait for it is ordered.
@pytest.mark.parametrize("count", [0, 1])
async def test_holder_tells_whether_commits_are_in_flight(clock, count):
    service = make_service(clock)
    for _ in range(count):
        service.commit_tracker.record_commit_sent()
    directory = SimpleNamespace(service=lambda name: service)
    session = _ChannelSession(None, directory, None, _SERVING)
    sealed = await session._respond(messages.Seal("s", "d1", 0.0, "", 7))
    assert_that(sealed.has_in_flight, Is(bool(count)))
    body = messages.encode(sealed)[messages.LENGTH_BYTES :]
    assert_that(messages.decode_response(body), Equals(sealed))

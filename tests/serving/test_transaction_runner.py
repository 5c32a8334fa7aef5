"""Running the statements of a transaction."""

from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving.open_transaction import OpenTransaction
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.stage_times import StageTimes
from goldcrestpond.serving.transaction_runner import TransactionRunner

from .test_leadership import ms
from .test_load_patterns import make_service

_ROUTE = Route("d", "s", ReadPolicy.BOUNDED, ms(1500), ms(1000), ms(200), 1)


# Guards against: a database that refuses each BEGIN looks as if it answered fast.
@pytest.mark.parametrize(
    ("error", "refusal_count"),
    [(ResultCode.ENDPOINT_BUSY, 1), (ResultCode.NO_FRESH_REPLICA, 0), (None, 0)],
)
def test_refused_begin_counts_as_a_refusal_of_the_database(clock, error, refusal_count):
    service = make_service(clock)
    served = service.databases["r1"]
    refused = []
    served.pool.record_refusal = refused.append

    async def begin(is_read_only, min_position):
        return Reply(error=error)

    link = SimpleNamespace(begin=begin)
    transaction = OpenTransaction(_ROUTE, service, True, clock.now())
    transaction.link, transaction.served = link, served
    directory = SimpleNamespace(clock=clock)
    runner = TransactionRunner(
        "c", transaction, SessionState(), None, directory, StageTimes(clock)
    )
    reply = anyio.run(runner._begin, True, None, clock.now() + ms(1000))
    assert_that(reply.error, Equals(error))
    assert_that(refused, Equals([link] * refusal_count))

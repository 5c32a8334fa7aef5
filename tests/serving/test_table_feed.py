"""Tests of a feed whose store is unreachable for a while."""

import random
from datetime import timedelta

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving import table_feed
from goldcrestpond.serving.row_store import FeedAnswer
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.serving.table_feed import TableFeed

from ..line_world import ListLog
from .test_leadership import ms

WAIT = timedelta(seconds=3)


class _Store:
    """Answers the read; each ``wait_for_changes`` succeeds or fails by its outcome."""

    def __init__(self, outcomes):
        self.outcomes = outcomes
        self.waits = []
        self.is_done = anyio.Event()

    async def read(self, table):
        return FeedAnswer([], 1, 0.0)

    async def wait_for_changes(self, table, after, wait):
        self.waits.append(wait)
        if len(self.waits) == len(self.outcomes):
            self.is_done.set()
        if not self.outcomes[len(self.waits) - 1]:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "away")
        return FeedAnswer([], 1, 0.0)


def test_feed_polls_without_waiting_until_the_store_answers_again(monkeypatch):
    """Silent store: a long call sent shortly before its return gets no answer."""
    monkeypatch.setattr(table_feed, "RETRY_PAUSE_FIRST", ms(1))

    async def body():
        store = _Store([True, False, False, True, True])
        feed = TableFeed(
            store,
            TableCopy("t", lambda rows: None, lambda rows: None),
            lambda: ms(0),
            WAIT,
            ManualClock(),
            random.Random(1),
            ListLog(),
        )
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                await store.is_done.wait()
                tasks.cancel_scope.cancel()
        no_wait = timedelta(0)
        assert_that(store.waits, Equals([WAIT, WAIT, no_wait, no_wait, WAIT]))

    anyio.run(body)


# The store answers by an earlier state than the copy, which another instance passed on:
# the answer was dropped and yet confirmed the rows, so that they counted as fresh.
def test_answer_older_than_the_copy_confirms_nothing():
    async def body():
        copy = TableCopy("t", lambda rows: None, lambda rows: None)
        copy.replace([], 0, 5)
        clock, log = ManualClock(), ListLog()
        feed = TableFeed(
            _Store([]), copy, lambda: ms(0), WAIT, clock, random.Random(1), log
        )
        feed._is_history_lost = True
        assert_that(await feed.read_once(), Equals(False))
        assert_that((feed.confirmed_age(), feed.is_reachable), Equals((None, False)))
        [(event, fields)] = log.lines
        assert_that(event, Equals("store lost"))
        assert_that(fields["detail"], Contains("is older than"))

    anyio.run(body)

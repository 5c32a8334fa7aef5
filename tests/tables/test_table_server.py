"""Ages that an instance tells its followers."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from goldcrestpond.relay import messages
from goldcrestpond.serving.follower_list import FollowerList
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.tables.table_server import TableServer

from ..line_world import ListLog
from ..serving.test_leadership import ms


class _FrozenBetweenCalls:
    """Clock of a process that is suspended for a second after each look at it."""

    def __init__(self):
        self._now = ms(0)

    def now(self):
        self._now += ms(1000)
        return self._now


# The source was suspended after it had looked up the age and before it said how long it
# had held the question: its follower took the rows for younger than they were.
def test_suspension_while_answering_makes_rows_no_younger():
    copy = TableCopy("op", lambda rows: None, lambda rows: None)
    copy.replace([], 1, 1)
    copy.confirm(ms(0))
    clock = _FrozenBetweenCalls()
    server = TableServer([copy], FollowerList(), lambda: "reader", clock, ListLog())
    peer = messages.Peer("i2", "z1", "127.0.0.1:7440", 20)
    known = [messages.KnownTable("op", 1, 1)]
    request = messages.Follow(peer, None, known, 0.0, False)
    answer = anyio.run(server.answer, request)
    # It arrived at 1 s by the source's clock, and the rows were confirmed at 0 s.
    arrived_ms = 1000
    told_ms = arrived_ms + answer.held_ms - answer.tables[0].age_ms
    assert_that(told_ms, LessThan(1))

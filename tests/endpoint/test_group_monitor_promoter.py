"""A promotion that does not come about."""

from datetime import timedelta
from types import SimpleNamespace

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.endpoint import group_monitor_promoter
from goldcrestpond.endpoint.group_monitor_promoter import Promoter
from goldcrestpond.term.promotion_reason import PromotionReason


def test_term_that_is_not_had_in_time_ends_the_attempt(monkeypatch):
    """The store answers too late: nobody is promoted, and the monitor goes on."""
    limit = timedelta(milliseconds=20)
    monkeypatch.setattr(group_monitor_promoter, "PROMOTION_LIMIT", limit)

    async def never(highest):
        await anyio.sleep_forever()

    view = SimpleNamespace(highest_term=lambda: 1)
    record = SimpleNamespace(unused_term=lambda highest: 0, issue_next_term=never)
    promoter = Promoter("g", "i1", view, None, record, None, None, None)
    promoted = anyio.run(promoter.promote, PromotionReason.STALLED, ())
    assert_that(promoted, Is(None))

"""A promotion that gets no term in time."""

from datetime import timedelta
from types import SimpleNamespace

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.endpoint import group_monitor_promoter
from goldcrestpond.endpoint.group_monitor_promoter import Promoter
from goldcrestpond.term.promotion_reason import PromotionReason


# Guards against a promotion that fails with an error when the store answers too late:
# no database is promoted, and the monitor continues.
def test_promotion_ends_if_no_term_is_issued_in_time(monkeypatch):
    limit = timedelta(milliseconds=20)
    monkeypatch.setattr(group_monitor_promoter, "PROMOTION_LIMIT", limit)

    async def never_issue(highest):
        await anyio.sleep_forever()

    view = SimpleNamespace(highest_term=lambda: 1)
    record = SimpleNamespace(unused_term=lambda highest: 0, issue_next_term=never_issue)
    promoter = Promoter("g", "i1", view, None, record, None, None, None)
    promoted = anyio.run(promoter.promote, PromotionReason.STALLED, ())
    assert_that(promoted, Is(None))

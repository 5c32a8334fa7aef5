"""Rows that another writer left: unreadable ones, and values out of any range."""

import logging
import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.api.change_executor import ChangeExecutor
from goldcrestpond.api.drain_progress_reader import DrainProgressReader
from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.configuration.change_action import ChangeAction
from goldcrestpond.configuration.change_batch import compute_request_digest
from goldcrestpond.configuration.change_request import ChangeRequest
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.stored_outcome import outcome_key
from goldcrestpond.configuration.stored_resource import decode_resource_row
from goldcrestpond.drain.drain_keys import DRAIN_PREFIX
from goldcrestpond.drain.drain_phase import DrainPhase
from goldcrestpond.drain.drain_progress import DrainProgress
from goldcrestpond.endpoint.group_monitor_record import GroupRecord
from goldcrestpond.endpoint.share_updater import ShareUpdater
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving.failover_claim import CLAIM_LIFETIME, ClaimWriter
from goldcrestpond.serving.failover_claim import TABLE as CLAIMS
from goldcrestpond.serving.log_member_record import decode_record
from goldcrestpond.serving.members import Members
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.store.changes import Changes
from goldcrestpond.store.row import Row

from .fake_platform import FakePlatform
from .line_world import ListLog
from .serving.fake_rows import FakeRows, FakeRowStore
from .serving.row import row

pytestmark = pytest.mark.anyio
NESTED = b"[" * 20_000 + b"]" * 20_000
ODD_VALUES = [b"?", b"{", b'{"more":' + NESTED + b"}", b'{"era":' + b"9" * 400 + b"}"]

_CREATE = ChangeRequest(ChangeAction.CREATE, Kind.READ_POLICY, "p", {"max_age_ms": 1})


class _ListingPlatform(FakePlatform):
    """Platform that also lists its rows."""

    async def changes(self, prefix, after_revision, limit):
        found = [
            each
            for each in self.rows.values()
            if each.key.startswith(prefix) and each.revision > after_revision
        ]
        return Changes(self.revision, found, True)


@pytest.fixture
def claims(clock):
    era = StoreEra(clock, ListLog(), Metrics())
    rows = FakeRows()
    return rows, ClaimWriter("i1", FakeRowStore(rows, era), era, clock)


def _outcome(spec):
    digest = compute_request_digest(_CREATE).encode()
    return (
        b'{"digest":"%s","action":"create","kind":"ReadPolicy","name":"p",'
        b'"generation":1,"spec":%s}' % (digest, spec)
    )


def _claim(**fields):
    body = {"holder": "i2", "nonce": "n", "former": "d1", "state": "open"}
    return msgspec.json.encode(body | fields)


# Failure: an odd row among the claims keeps all instances from ending what is left of
# the failovers of every service.
@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("1/odd", _claim(pending_since_ms=1e300)),
        ("1/odd", _claim(pending_since_ms=-1e300)),
        ("1/odd", b'{"more":' + NESTED + b"}"),
        (f"{'9' * 150}/odd", _claim()),
        ("odd", b"?"),
    ],
)
async def test_odd_claim_leaves_the_others_read(claims, key, value):
    rows, writer = claims
    rows.put(CLAIMS, key, value)
    rows.put(CLAIMS, "1/s", _claim())
    assert_that(list(await writer.read_unended()), Equals(["s"]))


# Failure: one odd row makes a member that nobody reaches the only one with a fast link,
# so that it alone may read the store, or changes the rules of the whole fleet.
@pytest.mark.parametrize(
    "fields",
    [{"link_mbps": 1e308}, {"link_mbps": -1}, {"protocol": -5}, {"era": 10**400}],
)
async def test_odd_member_has_no_address(fields):
    body = {"availability_zone": "z", "address": "127.0.0.1:1"} | fields
    members = Members()
    members.replace([row("odd", 1, msgspec.json.encode(body))], CLAIM_LIFETIME, 0)
    assert_that([m.address for m in members.live(CLAIM_LIFETIME)], Equals([None]))


# Failure: a record whose term no later one exceeds names the last leader for ever.
async def test_record_with_odd_numbers_is_unreadable():
    for fields in ({"term": 10**30}, {"members": [{"id": "a", "born": -1}]}):
        value = msgspec.json.encode({"members": []} | fields)
        with pytest.raises(msgspec.ValidationError):
            decode_record(value)


# Failure: one odd resource keeps every proxy from following the configuration.
@pytest.mark.parametrize("value", ODD_VALUES)
async def test_odd_resource_is_unreadable(value):
    change = ConfigurationChange(resource_key(Kind.ROUTE, "x"), 3, value)
    with pytest.raises(ValueError):
        decode_resource_row(change)


# Failure: one odd row among the shares keeps a proxy from following all of them.
@pytest.mark.parametrize("value", ODD_VALUES)
async def test_odd_share_leaves_the_others_followed(value, caplog):
    platform = _ListingPlatform()
    updater = ShareUpdater("p1", platform, ManualClock(), random.Random(1))
    await platform.put("sharing/row/depot/odd", value, 0)
    good = b'{"entries":{"p2":{"share":3,"floor":1}}}'
    await platform.put("sharing/row/depot/d1", good, 0)
    with caplog.at_level(logging.WARNING):
        await updater._read_rows()
    assert_that(list(updater._rows), Equals(["sharing/row/depot/d1"]))
    assert_that("sharing/row/depot/odd" in caplog.text, Is(True))
    assert_that(updater._revision, Equals(2))


# Failure: an odd record of a group ends the task that reads it; or its terms, which may
# be in use, are issued again.
@pytest.mark.parametrize("value", ODD_VALUES)
async def test_odd_record_of_a_group_issues_no_term(value):
    platform = FakePlatform()
    platform.rows["terms/depot"] = Row("terms/depot", value, 1)
    record = GroupRecord("depot", platform, "p1")
    for call in (record.refresh(), record.issue_next_term(0)):
        with pytest.raises(CodedError) as caught:
            await call
        assert_that(caught.value.code, Is(ResultCode.PLATFORM_UNAVAILABLE))
    assert_that(platform.rows["terms/depot"].value, Equals(value))


# Failure: an odd report of a drain keeps the API from reading all others.
@pytest.mark.parametrize("value", ODD_VALUES)
async def test_odd_report_of_a_drain_leaves_the_others_read(value):
    platform = _ListingPlatform()
    await platform.put(f"{DRAIN_PREFIX}order/odd", value, 0)
    progress = DrainProgress(next(iter(DrainPhase)), 3)
    good = msgspec.json.encode(progress)
    await platform.put(f"{DRAIN_PREFIX}order/p1", good, 0)
    reader = DrainProgressReader(platform)
    await reader._read_changes()
    assert_that(reader.read("order", 0), Equals([progress]))


# Failure: an odd outcome under an operator's idempotency key ends the change with an
# internal error, which doesn't say that an earlier attempt may have taken effect.
@pytest.mark.parametrize(
    "value", [*ODD_VALUES, _outcome(b'{"max_age_ms":[]}'), _outcome(NESTED)]
)
async def test_odd_outcome_of_a_change_is_reported_as_unknown(value):
    platform = _ListingPlatform()
    platform.rows[outcome_key("k")] = Row(outcome_key("k"), value, 1)
    executor = ChangeExecutor(platform, random.Random(1), lambda: None, list)
    with pytest.raises(CodedError) as raised:
        await executor.execute(_CREATE, "k")
    assert_that(raised.value.code, Is(ResultCode.OUTCOME_UNKNOWN))
    assert_that(list(platform.rows), Equals([outcome_key("k")]))

"""Messages between instances: what goes in comes out, and nothing else passes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.configuration_delta import ConfigurationDelta
from goldcrestpond.configuration.configuration_snapshot import ConfigurationSnapshot
from goldcrestpond.configuration.revision_count import RevisionCount
from goldcrestpond.distribution.force_claim import ForceClaim
from goldcrestpond.distribution.force_query import ForceQuery
from goldcrestpond.distribution.force_report import ForceReport
from goldcrestpond.distribution.revision_notice import RevisionNotice
from goldcrestpond.distribution.update_answer import UpdateAnswer
from goldcrestpond.distribution.update_request import UpdateRequest
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.membership.gossip import Gossip
from goldcrestpond.membership.member_state import MemberState
from goldcrestpond.membership.member_table import BUCKET_COUNT
from goldcrestpond.membership.member_update import MemberUpdate
from goldcrestpond.membership.membership import MESSAGE_BYTES, UPDATE_BYTES
from goldcrestpond.membership.membership_settings import MembershipSettings
from goldcrestpond.membership.probe import Probe
from goldcrestpond.membership.probe_answer import ProbeAnswer
from goldcrestpond.membership.probe_request import ProbeRequest
from goldcrestpond.membership.sync_request import SyncRequest
from goldcrestpond.peer.codec import (
    DATAGRAM_LIMIT_BYTES,
    decode_message,
    encode_message,
)
from goldcrestpond.peer.seal import Seal

# Payload of a datagram that fits an Ethernet frame.
_DATAGRAM_BYTES = 1472

_U64 = st.integers(0, 2**64 - 1)
_U32 = st.integers(0, 2**32 - 1)
_ID = st.integers(1, 2**64 - 1)
_STATE = st.sampled_from(MemberState)
_ADDRESS = st.builds(
    "10.{}.{}.{}:{}".format, *[st.integers(0, 255)] * 3, _U32.map(lambda n: n % 65536)
)
_UPDATE = st.builds(
    MemberUpdate,
    _ID,
    _U64,
    _STATE,
    st.text(max_size=20),
    _ADDRESS,
    st.text(max_size=20),
)
_UPDATES = st.lists(_UPDATE, max_size=6)
_ORIGIN = st.just("") | _ADDRESS
_CHANGE = st.builds(ConfigurationChange, st.text(), _U32, st.none() | st.binary())
_CHANGES = st.lists(_CHANGE, max_size=4)
_COUNTS = st.lists(st.builds(RevisionCount, _U64, _U32), max_size=16)
_MESSAGES = st.one_of(
    st.builds(Probe, _U64, _U64, _U64, _U64, _U64, _STATE, _ORIGIN, _UPDATES),
    st.builds(ProbeAnswer, _U64, _U64, _U64, _UPDATE, _ORIGIN, _UPDATES),
    st.builds(ProbeRequest, _U64, _U64, _U64, _U64, _STATE, _ADDRESS),
    st.builds(Gossip, _U64, _U64, _UPDATES, st.booleans(), st.booleans()),
    st.builds(SyncRequest, _U64, st.lists(_U32, max_size=BUCKET_COUNT)),
    st.builds(RevisionNotice, _U64, _U64, _U64, _U64),
    st.builds(UpdateRequest, _U64, _U64, _U64),
    st.builds(
        UpdateAnswer,
        _U64,
        _U64,
        _U64,
        st.none()
        | st.builds(ConfigurationDelta, _U32, _U32, _CHANGES)
        | st.builds(ConfigurationSnapshot, _U32, _CHANGES),
    ),
    st.builds(ForceReport, _U64, _U64, _COUNTS),
    st.builds(ForceQuery, _U64),
    st.builds(ForceClaim, _U64, _U64, _U64, _U32, _COUNTS),
)


@given(_MESSAGES)
def test_message_comes_out_as_it_went_in(message):
    data = encode_message(message)
    assert_that(decode_message(data, DATAGRAM_LIMIT_BYTES), Equals(message))


def _decode_or_refuse(data):
    try:
        decode_message(data, DATAGRAM_LIMIT_BYTES)
    except CodedError as error:
        assert_that(error.code, Equals(ResultCode.PEER_MALFORMED))


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_are_refused_with_a_code(data):
    _decode_or_refuse(data)


@settings(max_examples=300)
@given(_MESSAGES, st.integers(0, 10_000), st.integers(1, 255), st.integers(0, 40))
def test_damaged_message_is_refused_with_a_code_or_read(message, place, mask, cut):
    data = bytearray(encode_message(message))
    data[place % len(data)] ^= mask
    _decode_or_refuse(bytes(data[: len(data) - cut]))


def test_message_that_unfolds_to_much_is_refused():
    updates = ConfigurationSnapshot(1, [ConfigurationChange("k", 1, bytes(10**6))])
    data = encode_message(UpdateAnswer(1, 1, 1, updates))
    assert_that(len(data), LessThan(DATAGRAM_LIMIT_BYTES))
    with pytest.raises(CodedError, match="GP702"):
        decode_message(data, DATAGRAM_LIMIT_BYTES)


@given(st.binary(max_size=60), st.integers(0, 10_000), st.integers(1, 255))
def test_seal_admits_only_what_was_sealed(data, place, mask):
    seal = Seal(b"key")
    sealed = bytearray(seal.close(data))
    assert_that(seal.open(bytes(sealed)), Equals(data))
    sealed[place % len(sealed)] ^= mask
    with pytest.raises(CodedError, match="GP702"):
        seal.open(bytes(sealed))
    with pytest.raises(CodedError, match="GP702"):
        Seal(b"other").open(seal.close(data))


def _long_update(number):
    return MemberUpdate(
        2**64 - 1 - number,
        3,
        MemberState.SUSPECT,
        f"proxy-{number:05}",
        f"10.120.{number % 250}.201:47001",
        "region-6-b",
    )


def test_largest_messages_fit_a_datagram_and_their_estimate():
    limits = MembershipSettings()
    seal = Seal(b"key")
    gossip_updates = [_long_update(n) for n in range(limits.updates_per_gossip)]
    probe_updates = gossip_updates[: limits.updates_per_probe]
    gossip = Gossip(2**64 - 1, 2**64 - 1, gossip_updates, True, True)
    answer = ProbeAnswer(1, 2**64 - 1, 2**63, _long_update(1), "", probe_updates)
    digests = SyncRequest(2**64 - 1, [2**32 - 1 - n for n in range(BUCKET_COUNT)])
    for message in (gossip, answer, digests):
        size_bytes = len(seal.close(encode_message(message)))
        assert_that(size_bytes, LessThan(_DATAGRAM_BYTES + 1))
    estimate_bytes = MESSAGE_BYTES + len(gossip_updates) * UPDATE_BYTES
    assert_that(len(seal.close(encode_message(gossip))), LessThan(estimate_bytes + 1))

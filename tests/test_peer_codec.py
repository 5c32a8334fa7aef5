"""Encoding, decoding and authentication of messages between instances."""

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
from goldcrestpond.peer.message_authenticator import MessageAuthenticator

# Maximum payload of a UDP datagram that fits an Ethernet frame.
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
def test_decoded_message_equals_the_encoded_one(message):
    data = encode_message(message)
    assert_that(decode_message(data, DATAGRAM_LIMIT_BYTES), Equals(message))


def _decode_or_expect_malformed(data):
    try:
        decode_message(data, DATAGRAM_LIMIT_BYTES)
    except CodedError as error:
        assert_that(error.code, Equals(ResultCode.PEER_MALFORMED))


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_are_decoded_or_refused_as_malformed(data):
    _decode_or_expect_malformed(data)


@settings(max_examples=300)
@given(_MESSAGES, st.integers(0, 10_000), st.integers(1, 255), st.integers(0, 40))
def test_corrupted_message_is_decoded_or_refused_as_malformed(
    message, position, mask, cut_bytes
):
    data = bytearray(encode_message(message))
    data[position % len(data)] ^= mask
    _decode_or_expect_malformed(bytes(data[: len(data) - cut_bytes]))


def test_small_message_that_decodes_to_a_large_one_is_refused():
    updates = ConfigurationSnapshot(1, [ConfigurationChange("k", 1, bytes(10**6))])
    data = encode_message(UpdateAnswer(1, 1, 1, updates))
    assert_that(len(data), LessThan(DATAGRAM_LIMIT_BYTES))
    with pytest.raises(CodedError, match="GP702"):
        decode_message(data, DATAGRAM_LIMIT_BYTES)


@given(st.binary(max_size=60), st.integers(0, 10_000), st.integers(1, 255))
def test_only_messages_with_a_matching_tag_are_accepted(data, position, mask):
    authenticator = MessageAuthenticator(b"key")
    signed = bytearray(authenticator.sign(data))
    assert_that(authenticator.verify(bytes(signed)), Equals(data))
    signed[position % len(signed)] ^= mask
    with pytest.raises(CodedError, match="GP702"):
        authenticator.verify(bytes(signed))
    with pytest.raises(CodedError, match="GP702"):
        MessageAuthenticator(b"other").verify(authenticator.sign(data))


def _long_update(number):
    return MemberUpdate(
        2**64 - 1 - number,
        3,
        MemberState.SUSPECT,
        f"proxy-{number:05}",
        f"10.120.{number % 250}.201:47001",
        "region-6-b",
    )


def test_largest_messages_fit_a_datagram_and_their_size_estimate():
    limits = MembershipSettings()
    authenticator = MessageAuthenticator(b"key")
    gossip_updates = [_long_update(n) for n in range(limits.updates_per_gossip)]
    probe_updates = gossip_updates[: limits.updates_per_probe]
    gossip = Gossip(2**64 - 1, 2**64 - 1, gossip_updates, True, True)
    answer = ProbeAnswer(1, 2**64 - 1, 2**63, _long_update(1), "", probe_updates)
    digests = SyncRequest(2**64 - 1, [2**32 - 1 - n for n in range(BUCKET_COUNT)])
    for message in (gossip, answer, digests):
        size_bytes = len(authenticator.sign(encode_message(message)))
        assert_that(size_bytes, LessThan(_DATAGRAM_BYTES + 1))
    estimate_bytes = MESSAGE_BYTES + len(gossip_updates) * UPDATE_BYTES
    assert_that(
        len(authenticator.sign(encode_message(gossip))), LessThan(estimate_bytes + 1)
    )

"""Encodes and decodes messages between instances."""

import capnp

from ..distribution.force_claim import ForceClaim
from ..distribution.force_query import ForceQuery
from ..distribution.force_report import ForceReport
from ..distribution.message import Message as DistributionMessage
from ..distribution.revision_notice import RevisionNotice
from ..distribution.update_answer import UpdateAnswer
from ..distribution.update_request import UpdateRequest
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..membership.gossip import Gossip
from ..membership.message import Message as MembershipMessage
from ..membership.probe import Probe
from ..membership.probe_answer import ProbeAnswer
from ..membership.probe_request import ProbeRequest
from ..membership.sync_request import SyncRequest
from . import distribution_codec, membership_codec
from .schema import peer_schema

PeerMessage = MembershipMessage | DistributionMessage | ForceQuery

DATAGRAM_LIMIT_BYTES = 16 << 10
_WORD_BYTES = 8

_WRITERS = {
    Probe: membership_codec.write_probe,
    ProbeAnswer: membership_codec.write_probe_answer,
    ProbeRequest: membership_codec.write_probe_request,
    Gossip: membership_codec.write_gossip,
    SyncRequest: membership_codec.write_sync_request,
    RevisionNotice: distribution_codec.write_revision_notice,
    UpdateRequest: distribution_codec.write_update_request,
    UpdateAnswer: distribution_codec.write_update_answer,
    ForceReport: distribution_codec.write_force_report,
    ForceClaim: distribution_codec.write_force_claim,
    ForceQuery: distribution_codec.write_force_query,
}
_READERS = {
    "probe": membership_codec.read_probe,
    "probeAnswer": membership_codec.read_probe_answer,
    "probeRequest": membership_codec.read_probe_request,
    "gossip": membership_codec.read_gossip,
    "syncRequest": membership_codec.read_sync_request,
    "revisionNotice": distribution_codec.read_revision_notice,
    "updateRequest": distribution_codec.read_update_request,
    "updateAnswer": distribution_codec.read_update_answer,
    "forceReport": distribution_codec.read_force_report,
    "forceClaim": distribution_codec.read_force_claim,
    "forceQuery": distribution_codec.read_force_query,
}


def encode_message(message: PeerMessage) -> bytes:
    """Return an encoded message."""
    envelope = peer_schema.PeerMessage.new_message(senderId=message.sender_id)
    _WRITERS[type(message)](envelope, message)
    return envelope.to_bytes_packed()


def decode_message(data: bytes, limit_bytes: int) -> PeerMessage:
    """Return the message that some bytes encode.

    Parameters
    ----------
    data : bytes
        Received bytes. Cap'n Proto packs zeros, so that the decoded message may be
        much larger.
    limit_bytes : int
        Maximum size of the decoded message.

    Raises
    ------
    CodedError
        PEER_MALFORMED if the bytes are not a valid message.
    """
    try:
        envelope = peer_schema.PeerMessage.from_bytes_packed(
            data, traversal_limit_in_words=limit_bytes // _WORD_BYTES
        )
        kind = str(envelope.which())
        return _READERS[kind](envelope.senderId, getattr(envelope, kind))
    except (
        capnp.KjException,
        *DECODE_ERRORS,
        CodedError,
        ValueError,
        KeyError,
        UnicodeDecodeError,
    ) as error:
        raise CodedError(ResultCode.PEER_MALFORMED, type(error).__name__) from error

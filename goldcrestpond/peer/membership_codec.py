"""Converts membership messages to and from Cap'n Proto."""

from collections.abc import Sequence
from typing import Any

from ..membership.gossip import Gossip
from ..membership.member_state import MemberState
from ..membership.member_update import MemberUpdate
from ..membership.probe import Probe
from ..membership.probe_answer import ProbeAnswer
from ..membership.probe_request import ProbeRequest
from ..membership.sync_request import SyncRequest
from ..settings.address import parse_address

# Messages that exceed these limits are rejected.
_MAX_NAME_LENGTH = 255
_MAX_UPDATES = 64


def write_probe(envelope: Any, probe: Probe) -> None:
    """Write a probe to an envelope."""
    out = envelope.init("probe")
    out.digest = probe.digest
    out.number = probe.number
    out.targetId = probe.target_id
    out.targetIncarnation = probe.target_incarnation
    out.targetState = int(probe.target_state)
    out.origin = probe.origin
    _write_updates(out, probe.updates)


def read_probe(sender_id: int, body: Any) -> Probe:
    """Read a probe from an envelope."""
    return Probe(
        sender_id,
        body.digest,
        body.number,
        body.targetId,
        body.targetIncarnation,
        MemberState(body.targetState),
        _read_origin(body.origin),
        _read_updates(body.updates),
    )


def write_probe_answer(envelope: Any, answer: ProbeAnswer) -> None:
    """Write an answer to a probe to an envelope."""
    out = envelope.init("probeAnswer")
    out.digest = answer.digest
    out.number = answer.number
    _write_update(out.init("responder"), answer.responder)
    out.origin = answer.origin
    _write_updates(out, answer.updates)


def read_probe_answer(sender_id: int, body: Any) -> ProbeAnswer:
    """Read an answer to a probe from an envelope."""
    return ProbeAnswer(
        sender_id,
        body.digest,
        body.number,
        _read_update(body.responder),
        _read_origin(body.origin),
        _read_updates(body.updates),
    )


def write_probe_request(envelope: Any, request: ProbeRequest) -> None:
    """Write a request for an indirect probe to an envelope."""
    out = envelope.init("probeRequest")
    out.number = request.number
    out.targetId = request.target_id
    out.targetIncarnation = request.target_incarnation
    out.targetState = int(request.target_state)
    out.targetAddress = request.target_address


def read_probe_request(sender_id: int, body: Any) -> ProbeRequest:
    """Read a request for an indirect probe from an envelope."""
    return ProbeRequest(
        sender_id,
        body.number,
        body.targetId,
        body.targetIncarnation,
        MemberState(body.targetState),
        _read_address(body.targetAddress),
    )


def write_gossip(envelope: Any, gossip: Gossip) -> None:
    """Write gossiped updates of members to an envelope."""
    out = envelope.init("gossip")
    out.digest = gossip.digest
    out.isAnswer = gossip.is_answer
    out.more = gossip.more
    _write_updates(out, gossip.updates)


def read_gossip(sender_id: int, body: Any) -> Gossip:
    """Read gossiped updates of members from an envelope."""
    updates = _read_updates(body.updates)
    return Gossip(sender_id, body.digest, updates, body.isAnswer, body.more)


def write_sync_request(envelope: Any, request: SyncRequest) -> None:
    """Write the digests of all buckets to an envelope.

    A bucket is the set of members whose ids are equal modulo ``BUCKET_COUNT``.
    """
    envelope.init("syncRequest").bucketDigests = request.bucket_digests


def read_sync_request(sender_id: int, body: Any) -> SyncRequest:
    """Read the digests of all buckets from an envelope."""
    return SyncRequest(sender_id, list(body.bucketDigests))


def _write_updates(out: Any, updates: list[MemberUpdate]) -> None:
    if not updates:
        return
    slots = out.init("updates", len(updates))
    for slot, update in zip(slots, updates, strict=True):
        _write_update(slot, update)


def _write_update(out: Any, update: MemberUpdate) -> None:
    out.instanceId = update.instance_id
    out.incarnation = update.incarnation
    out.state = int(update.state)
    out.name = update.name
    out.address = update.address
    out.availabilityZone = update.availability_zone


def _read_updates(slots: Sequence[Any]) -> list[MemberUpdate]:
    if len(slots) > _MAX_UPDATES:
        raise ValueError("too many member updates")
    return [_read_update(slot) for slot in slots]


def _read_update(slot: Any) -> MemberUpdate:
    if slot.instanceId == 0:
        raise ValueError("instance id is 0")
    if (
        len(slot.name) > _MAX_NAME_LENGTH
        or len(slot.availabilityZone) > _MAX_NAME_LENGTH
    ):
        raise ValueError("name is too long")
    return MemberUpdate(
        slot.instanceId,
        slot.incarnation,
        MemberState(slot.state),
        slot.name,
        _read_address(slot.address),
        slot.availabilityZone,
    )


def _read_origin(text: str) -> str:
    return _read_address(text) if text else ""


def _read_address(text: str) -> str:
    return str(parse_address(text))

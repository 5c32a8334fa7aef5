"""Converts messages that spread the configuration to and from Cap'n Proto.

A claim states how many instances have each revision in force. It is computed by the
root of the tree of instances, whose process id is ``root_id``, from reports. The
``id_sum`` of a report is the sum modulo 2^64 of the ids of the counted instances.
"""

from collections.abc import Sequence
from typing import Any

import msgspec

from ..configuration.configuration_delta import ConfigurationDelta
from ..configuration.configuration_snapshot import ConfigurationSnapshot
from ..configuration.configuration_state import ConfigurationUpdate
from ..configuration.revision_count import RevisionCount
from ..distribution.force_claim import ForceClaim
from ..distribution.force_query import ForceQuery
from ..distribution.force_report import ForceReport
from ..distribution.revision_notice import RevisionNotice
from ..distribution.update_answer import UpdateAnswer
from ..distribution.update_request import UpdateRequest

_MAX_COUNTS = 64  # messages with more are rejected

_encoder = msgspec.msgpack.Encoder()
_delta_decoder = msgspec.msgpack.Decoder(ConfigurationDelta)
_snapshot_decoder = msgspec.msgpack.Decoder(ConfigurationSnapshot)


def write_revision_notice(envelope: Any, notice: RevisionNotice) -> None:
    """Write a revision notice to an envelope."""
    out = envelope.init("revisionNotice")
    out.revision = notice.revision
    out.rootId = notice.root_id
    out.claimNumber = notice.claim_number


def read_revision_notice(sender_id: int, body: Any) -> RevisionNotice:
    """Read a revision notice from an envelope."""
    return RevisionNotice(sender_id, body.revision, body.rootId, body.claimNumber)


def write_update_request(envelope: Any, request: UpdateRequest) -> None:
    """Write a request for an update to an envelope."""
    out = envelope.init("updateRequest")
    out.afterRevision = request.after_revision
    out.epoch = request.epoch


def read_update_request(sender_id: int, body: Any) -> UpdateRequest:
    """Read a request for an update from an envelope."""
    return UpdateRequest(sender_id, body.afterRevision, body.epoch)


def write_update_answer(envelope: Any, answer: UpdateAnswer) -> None:
    """Write the answer to a request for an update to an envelope."""
    out = envelope.init("updateAnswer")
    out.epoch = answer.epoch
    out.revision = answer.revision
    if isinstance(answer.update, ConfigurationDelta):
        out.update.delta = _encoder.encode(answer.update)
    elif isinstance(answer.update, ConfigurationSnapshot):
        out.update.snapshot = _encoder.encode(answer.update)


def read_update_answer(sender_id: int, body: Any) -> UpdateAnswer:
    """Read the answer to a request for an update from an envelope."""
    update = _read_update(body.update)
    return UpdateAnswer(sender_id, body.epoch, body.revision, update)


def write_force_report(envelope: Any, report: ForceReport) -> None:
    """Write a report of the revisions in force to an envelope."""
    out = envelope.init("forceReport")
    out.idSum = report.id_sum
    _write_counts(out, report.counts)


def read_force_report(sender_id: int, body: Any) -> ForceReport:
    """Read a report of the revisions in force from an envelope."""
    return ForceReport(sender_id, body.idSum, _read_counts(body.counts))


def write_force_claim(envelope: Any, claim: ForceClaim) -> None:
    """Write a claim of the revisions in force to an envelope."""
    out = envelope.init("forceClaim")
    out.rootId = claim.root_id
    out.number = claim.number
    out.ageMs = claim.age_ms
    _write_counts(out, claim.counts)


def read_force_claim(sender_id: int, body: Any) -> ForceClaim:
    """Read a claim of the revisions in force from an envelope."""
    counts = _read_counts(body.counts)
    return ForceClaim(sender_id, body.rootId, body.number, body.ageMs, counts)


def write_force_query(envelope: Any, query: ForceQuery) -> None:
    """Write a query for the revisions in force to an envelope."""
    envelope.forceQuery = None


def read_force_query(sender_id: int, body: Any) -> ForceQuery:
    """Read a query for the revisions in force from an envelope."""
    return ForceQuery(sender_id)


def _read_update(union: Any) -> ConfigurationUpdate | None:
    match str(union.which()):
        case "delta":
            return _delta_decoder.decode(union.delta)
        case "snapshot":
            return _snapshot_decoder.decode(union.snapshot)
    return None


def _write_counts(out: Any, counts: list[RevisionCount]) -> None:
    slots = out.init("counts", len(counts))
    for slot, count in zip(slots, counts, strict=True):
        slot.revision = count.revision
        slot.instanceCount = count.instance_count


def _read_counts(slots: Sequence[Any]) -> list[RevisionCount]:
    if len(slots) > _MAX_COUNTS:
        raise ValueError("too many revision counts")
    return [RevisionCount(slot.revision, slot.instanceCount) for slot in slots]

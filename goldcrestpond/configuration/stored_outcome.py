"""The outcome of a change, stored under its idempotency key."""

import msgspec

from .change_action import ChangeAction
from .kind import Kind
from .resource import SPEC_TYPES, Resource

OUTCOME_PREFIX = "idempotency/"


class StoredOutcome(msgspec.Struct):
    """Record of a change that took effect, written in the same batch.

    Attributes
    ----------
    digest : str
        Digest of the request; the key can't be used for another request.
    action : ChangeAction
        What was done with the resource.
    kind : Kind
        Kind of the resource.
    name : str
        Name of the resource.
    generation : int
        Generation after the change.
    spec : Raw
        Spec after the change, or of the deleted resource.
    version_offset : int
        Revision of the outcome's row less that of the resource's row.
    """

    digest: str
    action: ChangeAction
    kind: Kind
    name: str
    generation: int
    spec: msgspec.Raw
    version_offset: int = 1


def outcome_key(idempotency_key: str) -> str:
    """Return the table key of an outcome."""
    return f"{OUTCOME_PREFIX}{idempotency_key}"


def encode_outcome(digest: str, action: ChangeAction, resource: Resource) -> bytes:
    """Return the value of the outcome's row, which must follow the resource's row."""
    spec = msgspec.Raw(msgspec.json.encode(resource.spec))
    outcome = StoredOutcome(
        digest, action, resource.kind, resource.name, resource.generation, spec
    )
    return msgspec.json.encode(outcome)


def decode_outcome_resource(outcome: StoredOutcome, row_revision: int) -> Resource:
    """Return the resource as of the change, from the outcome and its row's revision."""
    spec = msgspec.json.decode(outcome.spec, type=SPEC_TYPES[outcome.kind])
    version = row_revision - outcome.version_offset
    return Resource(outcome.kind, outcome.name, spec, outcome.generation, version)

"""The outcome of a change, kept under its idempotency key."""

import msgspec

from .change_action import ChangeAction
from .kind import Kind
from .resource import SPEC_TYPES, Resource

OUTCOME_PREFIX = "idempotency/"


class StoredOutcome(msgspec.Struct):
    """A change that took effect, written in the same batch.

    Attributes
    ----------
    digest : str
        Digest of the request; the key is good for this request only.
    action : ChangeAction
        What was done.
    kind : Kind
        Kind of the resource.
    name : str
        Name of the resource.
    generation : int
        Generation after the change.
    spec : Raw
        Spec after the change, or of the deleted resource.
    version_offset : int
        Rows that the batch wrote after the resource's, up to this one.
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
    """Return the row of a change, to be written right after the resource's."""
    spec = msgspec.Raw(msgspec.json.encode(resource.spec))
    outcome = StoredOutcome(
        digest, action, resource.kind, resource.name, resource.generation, spec
    )
    return msgspec.json.encode(outcome)


def decode_outcome_resource(outcome: StoredOutcome, row_revision: int) -> Resource:
    """Return the resource as the change left it."""
    spec = msgspec.json.decode(outcome.spec, type=SPEC_TYPES[outcome.kind])
    version = row_revision - outcome.version_offset
    return Resource(outcome.kind, outcome.name, spec, outcome.generation, version)

"""Makes the batch of writes that carries out a planned change."""

import hashlib

import msgspec

from .change_plan import ChangePlan
from .change_request import ChangeRequest
from .row_write import RowWrite
from .stored_outcome import encode_outcome, outcome_key


def make_change_batch(
    request: ChangeRequest, plan: ChangePlan, idempotency_key: str
) -> list[RowWrite]:
    """Return the writes of a change and of its outcome, to be made as one batch.

    The batch fails if the outcome's row exists already, so that only one of
    all attempts with the same idempotency key takes effect.

    Returns
    -------
    list of RowWrite
        The resource's row, its outcome, and the guards.
    """
    resource_write, *guard_writes = plan.writes
    value = encode_outcome(
        compute_request_digest(request), request.action, plan.resource
    )
    outcome_write = RowWrite(outcome_key(idempotency_key), value, 0)
    return [resource_write, outcome_write, *guard_writes]


def compute_request_digest(request: ChangeRequest) -> str:
    """Return a SHA-256 digest that identifies a request."""
    return hashlib.sha256(msgspec.json.encode(request, order="sorted")).hexdigest()

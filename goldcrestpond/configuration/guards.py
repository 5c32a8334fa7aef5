"""Guards: rows by which concurrent changes of related resources conflict.

Each change writes the guards of all resources that its new spec refers to, and
of the changed resource if others may refer to it. Each write is conditional on
the guard's revision at the time of the check, so a change fails if a resource
that its check relied on has changed in the meantime.
"""

from .drain_order_spec import DrainOrderSpec
from .keys import GUARD_PREFIX
from .kind import Kind
from .resource import Resource, Spec
from .route_spec import RouteSpec

_REFERENCED_KINDS = frozenset({Kind.DATABASE_GROUP, Kind.READ_POLICY})


def list_guard_keys(resource: Resource) -> list[str]:
    """Return the keys of the guards that a change of a resource writes."""
    keys = _list_reference_keys(resource.spec)
    if resource.kind in _REFERENCED_KINDS:
        keys.append(_guard_key(resource.kind, resource.name))
    return keys


def find_owned_guard_key(resource: Resource) -> str | None:
    """Return the key of the guard that is deleted with the resource, or None."""
    if resource.kind in _REFERENCED_KINDS:
        return _guard_key(resource.kind, resource.name)
    if isinstance(resource.spec, RouteSpec):
        return _database_claim_key(resource.spec.database)
    return None


def _list_reference_keys(spec: Spec) -> list[str]:
    if isinstance(spec, RouteSpec):
        keys = [_database_claim_key(spec.database)]
        keys.append(_guard_key(Kind.DATABASE_GROUP, spec.group))
        if spec.read_policy:
            keys.append(_guard_key(Kind.READ_POLICY, spec.read_policy))
        return keys
    if isinstance(spec, DrainOrderSpec):
        return [_guard_key(Kind.DATABASE_GROUP, spec.group)]
    return []


def _guard_key(kind: Kind, name: str) -> str:
    return f"{GUARD_PREFIX}{kind}/{name}"


def _database_claim_key(database: str) -> str:
    return f"{GUARD_PREFIX}route_database/{database}"

"""A resource as the table keeps it and the proxies use it."""

import msgspec

from .database_group_spec import DatabaseGroupSpec
from .drain_order_spec import DrainOrderSpec
from .kind import Kind
from .read_policy_spec import ReadPolicySpec
from .route_spec import RouteSpec

Spec = RouteSpec | ReadPolicySpec | DrainOrderSpec | DatabaseGroupSpec

SPEC_TYPES: dict[Kind, type[Spec]] = {
    Kind.ROUTE: RouteSpec,
    Kind.READ_POLICY: ReadPolicySpec,
    Kind.DRAIN_ORDER: DrainOrderSpec,
    Kind.DATABASE_GROUP: DatabaseGroupSpec,
}


class Resource(msgspec.Struct, frozen=True):
    """One resource.

    Attributes
    ----------
    kind : Kind
        Kind of resource.
    name : str
        Name, unique within its kind.
    spec : Spec
        What the operator asks for, of the kind's spec type.
    generation : int
        Number of changes of the spec since its creation, from 1.
    resource_version : int
        The table's revision of the last write of this resource.
    """

    kind: Kind
    name: str
    spec: Spec
    generation: int = 1
    resource_version: int = 0

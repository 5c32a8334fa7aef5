"""A resource of the configuration."""

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
        State that the operator requests, of the kind's spec type.
    generation : int
        Number of changes of the spec since its creation, from 1.
    resource_version : int
        Revision of the table at which this resource was last written.
    """

    kind: Kind
    name: str
    spec: Spec
    generation: int = 1
    resource_version: int = 0

"""All resources as of one revision, as a proxy uses them."""

from dataclasses import dataclass, field

from .database_group_spec import DatabaseGroupSpec
from .drain_order_spec import DrainOrderSpec
from .read_policy_spec import ReadPolicySpec
from .route_spec import RouteSpec


@dataclass(frozen=True, slots=True)
class Configuration:
    """All resources as of one revision; a change replaces the whole object.

    Attributes
    ----------
    revision : int
        Revision of the newest change in the table that it contains; 0 for none.
    routes : dict of str to RouteSpec
        Routes by the database name that callers give.
    groups : dict of str to DatabaseGroupSpec
        Database groups by name.
    read_policies : dict of str to ReadPolicySpec
        Read policies by name.
    drain_orders : dict of str to DrainOrderSpec
        Drain orders by name.
    """

    revision: int = 0
    routes: dict[str, RouteSpec] = field(default_factory=dict)
    groups: dict[str, DatabaseGroupSpec] = field(default_factory=dict)
    read_policies: dict[str, ReadPolicySpec] = field(default_factory=dict)
    drain_orders: dict[str, DrainOrderSpec] = field(default_factory=dict)

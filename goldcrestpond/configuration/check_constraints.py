"""Checks a change against the other resources.

References must exist, a database name has one route, a database has one drain
order, each group keeps a database that accepts work, and the databases of a
group change one at a time.
"""

from ..errors.result_code import ResultCode
from .change_error import ChangeError
from .kind import Kind
from .resource import Resource
from .resource_table import ResourceTable


def check_write(
    table: ResourceTable,
    resource: Resource,
    current: Resource | None,
    in_force_revision: int,
) -> None:
    """Refuse a new spec that conflicts with other resources.

    Parameters
    ----------
    table : ResourceTable
        All resources before the change.
    resource : Resource
        The resource after the change.
    current : Resource or None
        The resource before the change.
    in_force_revision : int
        Revision that every live instance is known to have in force.

    Raises
    ------
    ChangeError
        CHANGE_REFUSED with the reason.
    """
    if resource.kind is Kind.ROUTE:
        _check_route(table, resource)
    elif resource.kind is Kind.DRAIN_ORDER:
        _check_drain_order(table, resource)
    elif resource.kind is Kind.DATABASE_GROUP and current is not None:
        _check_membership(resource, current, in_force_revision)
        _check_databases_left(table, resource)


def check_delete(table: ResourceTable, resource: Resource) -> None:
    """Refuse the deletion of a resource that others refer to.

    Raises
    ------
    ChangeError
        CHANGE_REFUSED with the reason.
    """
    if resource.kind is Kind.DATABASE_GROUP:
        for order in _list_drain_orders(table, resource.name):
            raise _make_refusal(f"drain order {order.name!r} refers to the group")
    field = {Kind.DATABASE_GROUP: "group", Kind.READ_POLICY: "read_policy"}
    if resource.kind not in field:
        return
    for route in table.list_kind(Kind.ROUTE):
        if getattr(route.spec, field[resource.kind]) == resource.name:
            raise _make_refusal(f"route {route.name!r} refers to it")


def _check_route(table: ResourceTable, route: Resource) -> None:
    _require_resource(table, Kind.DATABASE_GROUP, route.spec.group)
    if route.spec.read_policy:
        _require_resource(table, Kind.READ_POLICY, route.spec.read_policy)
    for other in table.list_kind(Kind.ROUTE):
        same_database = other.spec.database == route.spec.database
        if same_database and other.name != route.name:
            raise _make_refusal(
                f"route {other.name!r} already serves database {route.spec.database!r}"
            )


def _check_drain_order(table: ResourceTable, order: Resource) -> None:
    group = _require_resource(table, Kind.DATABASE_GROUP, order.spec.group)
    names = _get_database_names(group)
    if order.spec.database not in names:
        raise _make_refusal(f"the group has no database {order.spec.database!r}")
    others = [
        other
        for other in _list_drain_orders(table, order.spec.group)
        if other.name != order.name
    ]
    for other in others:
        if other.spec.database == order.spec.database:
            raise _make_refusal(f"drain order {other.name!r} already drains it")
    drained = {other.spec.database for other in others} | {order.spec.database}
    if names <= drained:
        raise _make_refusal("the group would have no database left that takes work")


def _check_membership(
    group: Resource, current: Resource, in_force_revision: int
) -> None:
    changed_names = _get_database_names(group) ^ _get_database_names(current)
    if not changed_names:
        return
    # If two memberships differ in one database, any majorities of them share a
    # database, so the next promotion sees every acknowledged commit. That holds
    # only while no instance is more than one such change behind another.
    if len(changed_names) > 1:
        raise _make_refusal("add or remove one database at a time")
    if in_force_revision < current.resource_version:
        raise _make_refusal(
            "the group's last change is not known to be in force on every live instance"
        )


def _check_databases_left(table: ResourceTable, group: Resource) -> None:
    orders = _list_drain_orders(table, group.name)
    if _get_database_names(group) <= {order.spec.database for order in orders}:
        raise _make_refusal("the group would have no database left that takes work")


def _get_database_names(group: Resource) -> set[str]:
    return {database.name for database in group.spec.databases}


def _list_drain_orders(table: ResourceTable, group: str) -> list[Resource]:
    orders = table.list_kind(Kind.DRAIN_ORDER)
    return [order for order in orders if order.spec.group == group]


def _require_resource(table: ResourceTable, kind: Kind, name: str) -> Resource:
    resource = table.find(kind, name)
    if resource is None:
        raise _make_refusal(f"there is no {kind} {name!r}")
    return resource


def _make_refusal(reason: str) -> ChangeError:
    return ChangeError(ResultCode.CHANGE_REFUSED, reason)

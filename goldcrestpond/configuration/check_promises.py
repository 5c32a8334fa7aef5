"""Refuses changes that would break what callers rely on."""

from ..errors.result_code import ResultCode
from .change_error import ChangeError
from .database_group_spec import DatabaseGroupSpec
from .kind import Kind
from .resource import Resource
from .resource_table import ResourceTable


def check_write(
    table: ResourceTable, resource: Resource, current: Resource | None
) -> None:
    """Refuse a new spec that does not fit the other resources.

    Parameters
    ----------
    table : ResourceTable
        All resources before the change.
    resource : Resource
        The resource after the change.
    current : Resource or None
        The resource before the change.

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
        _check_group_change(table, resource, current.spec)


def check_delete(table: ResourceTable, resource: Resource) -> None:
    """Refuse the deletion of a resource that others refer to.

    Raises
    ------
    ChangeError
        CHANGE_REFUSED with the reason.
    """
    if resource.kind is Kind.DATABASE_GROUP:
        for order in _drain_orders_of(table, resource.name):
            raise _refuse(f"drain order {order.name!r} refers to the group")
    field = {Kind.DATABASE_GROUP: "group", Kind.READ_POLICY: "read_policy"}
    if resource.kind not in field:
        return
    for route in table.list_kind(Kind.ROUTE):
        if getattr(route.spec, field[resource.kind]) == resource.name:
            raise _refuse(f"route {route.name!r} refers to it")


def _check_route(table: ResourceTable, route: Resource) -> None:
    _require(table, Kind.DATABASE_GROUP, route.spec.group)
    if route.spec.read_policy:
        _require(table, Kind.READ_POLICY, route.spec.read_policy)
    for other in table.list_kind(Kind.ROUTE):
        same_database = other.spec.database == route.spec.database
        if same_database and other.name != route.name:
            raise _refuse(
                f"route {other.name!r} serves database {route.spec.database!r} already"
            )


def _check_drain_order(table: ResourceTable, order: Resource) -> None:
    group = _require(table, Kind.DATABASE_GROUP, order.spec.group)
    names = {database.name for database in group.spec.databases}
    if order.spec.database not in names:
        raise _refuse(f"the group has no database {order.spec.database!r}")
    others = [
        other
        for other in _drain_orders_of(table, order.spec.group)
        if other.name != order.name
    ]
    for other in others:
        if other.spec.database == order.spec.database:
            raise _refuse(f"drain order {other.name!r} drains it already")
    drained = {other.spec.database for other in others} | {order.spec.database}
    if names <= drained:
        raise _refuse("the group would have no database left that takes work")


def _check_group_change(
    table: ResourceTable, group: Resource, before: DatabaseGroupSpec
) -> None:
    old_names = {database.name for database in before.databases}
    new_names = {database.name for database in group.spec.databases}
    if len(old_names ^ new_names) > 1:
        # Majorities of both memberships then share a database, so that no
        # acknowledged commit is out of sight of the next promotion.
        raise _refuse("add or remove one database at a time")
    orders = _drain_orders_of(table, group.name)
    if new_names <= {order.spec.database for order in orders}:
        raise _refuse("the group would have no database left that takes work")


def _drain_orders_of(table: ResourceTable, group: str) -> list[Resource]:
    orders = table.list_kind(Kind.DRAIN_ORDER)
    return [order for order in orders if order.spec.group == group]


def _require(table: ResourceTable, kind: Kind, name: str) -> Resource:
    resource = table.find(kind, name)
    if resource is None:
        raise _refuse(f"there is no {kind} {name!r}")
    return resource


def _refuse(reason: str) -> ChangeError:
    return ChangeError(ResultCode.CHANGE_REFUSED, reason)

"""Checks a change and plans the batch of writes that carries it out."""

from typing import Any

import msgspec

from ..errors.result_code import ResultCode
from .change_action import ChangeAction
from .change_error import ChangeError
from .change_plan import ChangePlan
from .change_request import ChangeRequest
from .check_constraints import check_delete, check_write
from .check_spec import decode_spec, make_invalid_error
from .database_group_spec import DatabaseGroupSpec
from .fault import Fault
from .field_types import Name
from .guards import find_owned_guard_key, list_guard_keys
from .keys import resource_key
from .merge_patch import merge_patch
from .resource import Resource, Spec
from .resource_table import ResourceTable
from .row_write import RowWrite
from .stored_resource import encode_resource_row


def plan_change(
    table: ResourceTable, request: ChangeRequest, in_force_revision: int = 0
) -> ChangePlan:
    """Return the writes for a change, as of the table's revision.

    Writing them fails if a resource that the plan relied on has changed since;
    plan again with a newer table then.

    Parameters
    ----------
    table : ResourceTable
        All resources as of one revision.
    request : ChangeRequest
        The change that the operator requests.
    in_force_revision : int, default=0
        Revision that every live instance is known to have in force.

    Raises
    ------
    ChangeError
        RESOURCE_INVALID, RESOURCE_NOT_FOUND, RESOURCE_CONFLICT or
        CHANGE_REFUSED, if the change is refused.
    """
    _check_name(request.name)
    current = table.find(request.kind, request.name)
    _check_version(request, current)
    if request.action is ChangeAction.DELETE:
        return _plan_delete(table, _require_existing(request, current))
    spec = _make_new_spec(request, current)
    return _plan_write(table, request, spec, current, in_force_revision)


def _plan_write(
    table: ResourceTable,
    request: ChangeRequest,
    spec: Spec,
    current: Resource | None,
    in_force_revision: int,
) -> ChangePlan:
    if current is not None and current.spec == spec:
        return ChangePlan(current, [])
    generation = 1 if current is None else current.generation + 1
    resource = Resource(request.kind, request.name, spec, generation)
    check_write(table, resource, current, in_force_revision)
    writes = [
        _make_resource_write(table, resource, encode_resource_row(spec, generation))
    ]
    writes += _make_guard_writes(table, resource)
    writes += _make_released_claim_writes(table, resource, current)
    return ChangePlan(resource, writes)


def _plan_delete(table: ResourceTable, current: Resource) -> ChangePlan:
    check_delete(table, current)
    owned = find_owned_guard_key(current)
    writes = [_make_resource_write(table, current, None)]
    if owned is not None:
        writes.append(RowWrite(owned, None, table.find_revision(owned)))
    return ChangePlan(current, writes)


def _make_resource_write(
    table: ResourceTable, resource: Resource, value: bytes | None
) -> RowWrite:
    key = resource_key(resource.kind, resource.name)
    return RowWrite(key, value, table.find_revision(key))


def _make_guard_writes(table: ResourceTable, resource: Resource) -> list[RowWrite]:
    value = msgspec.json.encode(resource_key(resource.kind, resource.name))
    return [
        RowWrite(key, value, table.find_revision(key))
        for key in list_guard_keys(resource)
    ]


def _make_released_claim_writes(
    table: ResourceTable, resource: Resource, current: Resource | None
) -> list[RowWrite]:
    if current is None:
        return []
    owned = find_owned_guard_key(current)
    if owned is None or owned == find_owned_guard_key(resource):
        return []
    return [RowWrite(owned, None, table.find_revision(owned))]


def _make_new_spec(request: ChangeRequest, current: Resource | None) -> Spec:
    if request.action is ChangeAction.PATCH:
        present = _require_existing(request, current)
        merged: Any = merge_patch(msgspec.to_builtins(present.spec), request.spec)
        return decode_spec(request.kind, merged)
    spec = decode_spec(request.kind, request.spec)
    if request.action is ChangeAction.CREATE and current is not None:
        raise _make_conflict("the resource already exists", current)
    if request.action is ChangeAction.REPLACE and request.expected_version != 0:
        _require_existing(request, current)
    return _keep_password(spec, current)


def _keep_password(spec: Spec, current: Resource | None) -> Spec:
    # The API leaves passwords out of its answers, so a spec that was read and
    # sent back has none.
    if current is None or not isinstance(spec, DatabaseGroupSpec) or spec.password:
        return spec
    return msgspec.structs.replace(spec, password=current.spec.password)


def _check_name(name: str) -> None:
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError as error:
        raise make_invalid_error([Fault("name", str(error))]) from error


def _check_version(request: ChangeRequest, current: Resource | None) -> None:
    if request.expected_version is None:
        return
    current_version = 0 if current is None else current.resource_version
    if request.expected_version == current_version:
        return
    if current is None:
        _require_existing(request, current)
    raise _make_conflict(f"the resource's version is {current_version}", current)


def _require_existing(request: ChangeRequest, current: Resource | None) -> Resource:
    if current is None:
        detail = f"there is no {request.kind} {request.name!r}"
        raise ChangeError(ResultCode.RESOURCE_NOT_FOUND, detail)
    return current


def _make_conflict(detail: str, current: Resource | None) -> ChangeError:
    return ChangeError(ResultCode.RESOURCE_CONFLICT, detail, current=current)

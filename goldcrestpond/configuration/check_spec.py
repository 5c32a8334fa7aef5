"""Decodes a spec and checks the rules that its type can't express."""

from collections.abc import Callable
from typing import Any

import msgspec

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import parse_address
from .change_error import ChangeError
from .check_body import find_faults
from .database_group_spec import DatabaseGroupSpec
from .fault import Fault
from .kind import Kind
from .resource import SPEC_TYPES, Spec


def decode_spec(kind: Kind, body: Any) -> Spec:
    """Return the spec of a body.

    Raises
    ------
    ChangeError
        RESOURCE_INVALID with every fault of the body.
    """
    faults = find_spec_faults(kind, body)
    if faults:
        raise make_invalid_error(faults)
    return msgspec.convert(body, SPEC_TYPES[kind])


def find_spec_faults(kind: Kind, body: Any) -> list[Fault]:
    """Return every fault of a spec's body."""
    spec_type = SPEC_TYPES[kind]
    faults = find_faults(body, spec_type, "spec")
    if faults:
        return faults
    return _EXTRA_CHECKS.get(kind, _check_nothing)(msgspec.convert(body, spec_type))


def make_invalid_error(faults: list[Fault]) -> ChangeError:
    """Return the RESOURCE_INVALID error for a body with these faults."""
    detail = "; ".join(f"{fault.path}: {fault.reason}" for fault in faults)
    return ChangeError(ResultCode.RESOURCE_INVALID, detail, faults=faults)


def _check_nothing(spec: Spec) -> list[Fault]:
    return []


def _check_group(spec: DatabaseGroupSpec) -> list[Fault]:
    faults = _find_duplicates(spec, "name") + _find_duplicates(spec, "address")
    for index, database in enumerate(spec.databases):
        if not _is_reachable_address(database.address):
            path = f"spec.databases[{index}].address"
            faults.append(Fault(path, "not an IP:PORT address with a port above 0"))
    if spec.report_slot_limit > spec.slot_limit:
        faults.append(Fault("spec.report_slot_limit", "greater than slot_limit"))
    if spec.slot_limit > spec.connection_limit:
        faults.append(Fault("spec.slot_limit", "greater than connection_limit"))
    return faults


def _find_duplicates(spec: DatabaseGroupSpec, field: str) -> list[Fault]:
    seen: set[str] = set()
    faults = []
    for index, database in enumerate(spec.databases):
        value = getattr(database, field)
        if value in seen:
            path = f"spec.databases[{index}].{field}"
            faults.append(Fault(path, f"{value!r} is used more than once"))
        seen.add(value)
    return faults


def _is_reachable_address(text: str) -> bool:
    try:
        return parse_address(text).port > 0
    except CodedError:
        return False


_EXTRA_CHECKS: dict[Kind, Callable[[Any], list[Fault]]] = {
    Kind.DATABASE_GROUP: _check_group
}

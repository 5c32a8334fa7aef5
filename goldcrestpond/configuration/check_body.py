"""Checks a body against its type and reports all faults at once."""

import types
from typing import Any, get_args, get_origin

import msgspec
from msgspec import structs

from .fault import Fault


def find_faults(body: Any, kind: type, path: str) -> list[Fault]:
    """Return a fault for each place where a body does not match a type.

    Parameters
    ----------
    body : object
        Decoded JSON.
    kind : type
        A ``msgspec.Struct`` or any type that ``msgspec.convert`` accepts.
    path : str
        Path of the body within the request, the prefix of the faults' paths.
    """
    item_kind = _find_item_struct(kind)
    if item_kind is not None and isinstance(body, list):
        faults = [
            fault
            for index, item in enumerate(body)
            for fault in find_faults(item, item_kind, f"{path}[{index}]")
        ]
        return faults or _find_type_fault(body, kind, path)
    if _is_struct(kind) and isinstance(body, dict):
        return _find_field_faults(body, kind, path)
    return _find_type_fault(body, kind, path)


def _find_field_faults(
    body: dict[str, Any], kind: type[msgspec.Struct], path: str
) -> list[Fault]:
    fields = {field.encode_name: field for field in structs.fields(kind)}
    faults = [
        Fault(f"{path}.{name}", "unknown field") for name in body if name not in fields
    ]
    for name, field in fields.items():
        if name in body:
            faults += find_faults(body[name], field.type, f"{path}.{name}")
        elif field.required:
            faults.append(Fault(f"{path}.{name}", "required field is missing"))
    return faults


def _find_type_fault(body: Any, kind: type, path: str) -> list[Fault]:
    try:
        msgspec.convert(body, kind)
    except msgspec.ValidationError as error:
        return [Fault(path, str(error))]
    return []


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _find_item_struct(kind: Any) -> type | None:
    if hasattr(kind, "__metadata__"):
        kind = kind.__origin__
    if isinstance(kind, types.GenericAlias) and get_origin(kind) is list:
        item = get_args(kind)[0]
        return item if _is_struct(item) else None
    return None

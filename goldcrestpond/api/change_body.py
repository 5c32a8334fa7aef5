"""Parses the body of a request that changes a resource."""

from typing import Any

import msgspec

from ..configuration.change_action import ChangeAction
from ..configuration.change_request import ChangeRequest
from ..configuration.check_body import find_faults
from ..configuration.check_spec import find_spec_faults, make_invalid_error
from ..configuration.fault import Fault
from ..configuration.kind import Kind
from ..errors.decode_errors import DECODE_ERRORS


class ChangeBody(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"resource_version": "resourceVersion"},
):
    """Body of a request that changes a resource.

    A resource that was read may be sent back as it is.

    Attributes
    ----------
    spec : object
        The spec, or for a patch the fields to merge.
    name : str
        Name of the resource; required to create one.
    kind : str
        Kind of the resource; if given, it must be that of the path.
    resource_version : int or None
        Version that the resource must have, 0 if it must not exist; required to
        replace a resource.
    generation : int
        Ignored.
    status : object
        Ignored.
    """

    spec: Any
    name: str = ""
    kind: str = ""
    resource_version: int | None = None
    generation: int = 0
    status: Any = None


def parse_change(
    action: ChangeAction, kind: Kind, path_name: str, content: bytes
) -> ChangeRequest:
    """Return the change that a request's body asks for.

    Raises
    ------
    ChangeError
        RESOURCE_INVALID with every fault of the body.
    """
    decoded = _decode(content)
    faults = find_faults(decoded, ChangeBody, "body")
    if not isinstance(decoded, dict):
        raise make_invalid_error(faults)
    faults += _find_envelope_faults(action, kind, path_name, decoded)
    if action is not ChangeAction.PATCH and "spec" in decoded:
        faults += find_spec_faults(kind, decoded["spec"])
    if faults:
        raise make_invalid_error(faults)
    body = msgspec.convert(decoded, ChangeBody)
    name = path_name or body.name
    return ChangeRequest(action, kind, name, body.spec, body.resource_version)


def _decode(content: bytes) -> Any:
    try:
        return msgspec.json.decode(content)
    except DECODE_ERRORS as error:
        raise make_invalid_error([Fault("body", str(error))]) from error


def _find_envelope_faults(
    action: ChangeAction, kind: Kind, path_name: str, decoded: dict[str, Any]
) -> list[Fault]:
    faults = []
    if decoded.get("kind", kind) != kind:
        faults.append(Fault("body.kind", f"the path has {kind}"))
    if path_name and decoded.get("name", path_name) != path_name:
        faults.append(Fault("body.name", f"the path has {path_name!r}"))
    if not path_name and "name" not in decoded:
        faults.append(Fault("body.name", "required field is missing"))
    if action is ChangeAction.REPLACE and decoded.get("resourceVersion") is None:
        faults.append(Fault("body.resourceVersion", "required to replace; 0 creates"))
    return faults

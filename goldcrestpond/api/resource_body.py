"""JSON body of a resource."""

from typing import Any

import msgspec

from ..configuration.database_group_spec import DatabaseGroupSpec
from ..configuration.kind import Kind
from ..configuration.resource import Resource
from .resource_status import ResourceStatus


class ResourceBody(msgspec.Struct, rename={"resource_version": "resourceVersion"}):
    """A resource with its status.

    Attributes
    ----------
    kind : Kind
        Kind of resource.
    name : str
        Name, unique within its kind.
    generation : int
        Number of changes of the spec since its creation.
    resource_version : int
        The table's revision of the last write.
    spec : object
        The spec of its kind; a password is left out.
    status : ResourceStatus
        How far the resource is in force.
    """

    kind: Kind
    name: str
    generation: int
    resource_version: int
    spec: Any
    status: ResourceStatus


def make_resource_body(resource: Resource, status: ResourceStatus) -> ResourceBody:
    """Return the body of a resource, without the password of a group."""
    spec = resource.spec
    if isinstance(spec, DatabaseGroupSpec):
        spec = msgspec.structs.replace(spec, password="")
    return ResourceBody(
        resource.kind,
        resource.name,
        resource.generation,
        resource.resource_version,
        spec,
        status,
    )

"""JSON line of a watch."""

from typing import Literal

import msgspec

from .resource_body import ResourceBody


class WatchLine(
    msgspec.Struct, omit_defaults=True, rename={"resource_version": "resourceVersion"}
):
    """A resource or its status changed.

    Attributes
    ----------
    type : str
        ``put``: the resource is as given; ``delete``: it is gone; ``synced``:
        all resources that exist were sent, a resource that was not is gone.
    name : str
        Name of the resource.
    resource_version : int
        The table's revision that the line is true at.
    object : ResourceBody or None
        The resource, for ``put``.
    """

    type: Literal["put", "delete", "synced"]
    name: str = ""
    resource_version: int = 0
    object: ResourceBody | None = None

"""JSON body of a list of resources."""

import msgspec

from .resource_body import ResourceBody


class ListBody(msgspec.Struct, rename={"resource_version": "resourceVersion"}):
    """The resources of one kind.

    Attributes
    ----------
    resource_version : int
        The table's revision that the list is complete up to.
    store_reachable : bool
        False if the table did not answer and the list may be old.
    items : list of ResourceBody
        Resources by name.
    """

    resource_version: int
    store_reachable: bool
    items: list[ResourceBody]

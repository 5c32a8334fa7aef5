"""One database of a group."""

import msgspec

from .field_types import AddressText, Name, OptionalName


class DatabaseSpec(msgspec.Struct, forbid_unknown_fields=True):
    """Where one database of a group is reached.

    Attributes
    ----------
    name : str
        Name within the group.
    address : str
        ``IP:PORT`` of the endpoint.
    availability_zone : str
        Availability zone; empty if unknown.
    """

    name: Name
    address: AddressText
    availability_zone: OptionalName = ""

"""Spec of a group of databases that replicate one log."""

from typing import Annotated

import msgspec

from .database_spec import DatabaseSpec
from .field_types import Count


class DatabaseGroupSpec(msgspec.Struct, forbid_unknown_fields=True):
    """The databases of a group, with their limits and the proxy's login.

    Attributes
    ----------
    databases : list of DatabaseSpec
        Databases of the group.
    slot_limit : int
        Statements that one database runs at once.
    connection_limit : int
        Connections that one database takes.
    report_slot_limit : int
        Slots of one database that the ``report`` lane may take.
    user : str
        User that proxies log in as.
    password : str
        Password of that user.
    """

    databases: Annotated[list[DatabaseSpec], msgspec.Meta(min_length=1, max_length=15)]
    user: str
    password: str = ""
    slot_limit: Count = 5
    connection_limit: Count = 35
    report_slot_limit: Count = 2

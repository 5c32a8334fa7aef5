"""Spec of an order to drain a database."""

import msgspec

from .field_types import DurationMs, Name


class DrainOrderSpec(msgspec.Struct, forbid_unknown_fields=True):
    """One database of a group receives no new work.

    Attributes
    ----------
    group : str
        Name of the database group.
    database : str
        Name of the database within the group.
    deadline_ms : int
        Time after which work in flight at the database is no longer awaited.
    """

    group: Name
    database: Name
    deadline_ms: DurationMs

"""Spec of a route from a database name to a database group."""

from typing import Literal

import msgspec

from .field_types import DurationMs, Name, OptionalName, OptionalTable


class RouteSpec(msgspec.Struct, forbid_unknown_fields=True):
    """Callers of one database name are served by one database group.

    Attributes
    ----------
    database : str
        Database name that callers give when they connect.
    group : str
        Name of the database group that serves them.
    read_policy : str
        Name of the read policy for declared reads; empty for none.
    read_only : bool
        True if all work of these callers is declared read-only.
    repeatable : bool
        True if all work of these callers may be repeated.
    lane : str
        Lane of the slots: ``short`` requests or long ``report`` requests.
    users : list of str
        Users that the route admits; empty admits all.
    request_table : str
        Table that records request ids and answers, with the text columns
        ``request_id`` (its primary key) and ``answer``; empty for none.
    queue_timeout_ms : int
        Longest wait for a slot, after which the request is refused as not run.
    statement_timeout_ms : int
        Longest time that a statement may run.
    """

    database: Name
    group: Name
    read_policy: OptionalName = ""
    read_only: bool = False
    repeatable: bool = False
    lane: Literal["short", "report"] = "short"
    users: list[str] = []
    request_table: OptionalTable = ""
    queue_timeout_ms: DurationMs = 2000
    statement_timeout_ms: DurationMs = 30000

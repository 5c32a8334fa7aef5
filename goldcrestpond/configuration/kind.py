"""Kinds of resource."""

from enum import StrEnum


class Kind(StrEnum):
    """A kind of resource that operators create."""

    ROUTE = "Route"
    READ_POLICY = "ReadPolicy"
    DRAIN_ORDER = "DrainOrder"
    DATABASE_GROUP = "DatabaseGroup"

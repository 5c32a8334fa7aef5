"""Role of a database in its group."""

from enum import StrEnum


class Role(StrEnum):
    """Role of a database in its group, as the database reports it."""

    PRIMARY = "primary"
    REPLICA = "replica"

"""Role of a database in its group."""

from enum import StrEnum


class Role(StrEnum):
    """What a database does in its group, by its own word."""

    PRIMARY = "primary"
    REPLICA = "replica"

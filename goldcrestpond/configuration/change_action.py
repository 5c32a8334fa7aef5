"""Actions that change a resource."""

from enum import StrEnum


class ChangeAction(StrEnum):
    """What an operator does to a resource."""

    CREATE = "create"
    REPLACE = "replace"
    PATCH = "patch"
    DELETE = "delete"

"""Lanes (classes of work) that share the slots of a database."""

from enum import StrEnum


class Lane(StrEnum):
    """Class of work, declared by the caller or by its route.

    ``SHORT`` is the default, ``AGED`` is for reads that accept data of a stated age,
    ``REPORT`` for requests that run long. Members are listed in the order in which a
    free slot is offered.
    """

    SHORT = "short"
    AGED = "aged"
    REPORT = "report"

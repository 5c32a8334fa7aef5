"""Lanes that share the slots of a database."""

from enum import StrEnum


class Lane(StrEnum):
    """Class of work; declared by the caller or by its route.

    Members are listed in the order in which free slots are offered.
    """

    SHORT = "short"
    AGED = "aged"
    REPORT = "report"

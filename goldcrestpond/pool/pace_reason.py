"""Why the operations in flight at a database are paced."""

from enum import StrEnum


class PaceReason(StrEnum):
    """What happened to the database, or to this instance's access to it.

    ``LISTED``: it was just listed, or started again under its id. ``HOLDER``: this
    instance has just begun to hold connections to it. ``LEADER``: it just became the
    leader. ``FAILURES``: several operations in a row failed or were refused.
    """

    LISTED = "listed"
    HOLDER = "holder"
    LEADER = "leader"
    FAILURES = "failures"

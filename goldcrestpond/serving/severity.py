"""How serious a finding about a configuration is."""

from enum import IntEnum


class Severity(IntEnum):
    """Severities, the most serious first.

    ``ERROR``: the version must not be sent. ``WARNING``: it can be used, but an entry
    has no effect, limits contradict each other, or callers lose access.
    ``DIFFERENCE``: it differs from the version in force.
    """

    ERROR = 0
    WARNING = 1
    DIFFERENCE = 2

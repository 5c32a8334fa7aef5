"""Changes that lead from one revision to a later one."""

import msgspec

from .configuration_change import ConfigurationChange


class ConfigurationDelta(msgspec.Struct, frozen=True):
    """All rows that changed after a base revision, up to a revision.

    It leads any holder of a revision from the base up to the exact state of
    ``revision``; a holder of less than the base must not apply it.

    Attributes
    ----------
    base_revision : int
        Lowest revision that the delta applies to.
    revision : int
        Revision of the newest change.
    changes : list of ConfigurationChange
        The last change of each row that changed, deletions included.
    """

    base_revision: int
    revision: int
    changes: list[ConfigurationChange]

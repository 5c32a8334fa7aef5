"""Changes between two revisions."""

import msgspec

from .configuration_change import ConfigurationChange


class ConfigurationDelta(msgspec.Struct, frozen=True):
    """All rows that changed after a base revision, up to a later revision.

    Applied to the state of ``base_revision`` or of any later one, it gives the
    exact state of ``revision``. It must not be applied to an earlier state.

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

"""All rows as of one revision."""

import msgspec

from .configuration_change import ConfigurationChange


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """The whole configuration as of one revision.

    Attributes
    ----------
    revision : int
        Revision of the newest change, deletions included.
    changes : list of ConfigurationChange
        Every row that exists.
    """

    revision: int
    changes: list[ConfigurationChange]

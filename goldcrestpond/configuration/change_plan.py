"""The writes that carry out a change."""

import msgspec

from .resource import Resource
from .row_write import RowWrite


class ChangePlan(msgspec.Struct, frozen=True):
    """Writes to be made as one batch, each conditional on its row's revision.

    Attributes
    ----------
    resource : Resource
        The resource after the change, or the one that is deleted. Its version
        is known only once the batch is written.
    writes : list of RowWrite
        The resource's row first, then the guards. Empty if the resource already
        is as requested.
    """

    resource: Resource
    writes: list[RowWrite]

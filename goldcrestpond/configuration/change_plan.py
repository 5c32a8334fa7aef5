"""The writes that carry out a change."""

import msgspec

from .resource import Resource
from .row_write import RowWrite


class ChangePlan(msgspec.Struct, frozen=True):
    """Writes to be made as one batch, each on the condition of its revision.

    Attributes
    ----------
    resource : Resource
        The resource after the change, or the one that is deleted; its version
        is known only after the batch.
    writes : list of RowWrite
        The resource's row first, then the guards. Empty if the resource is as
        asked for already.
    """

    resource: Resource
    writes: list[RowWrite]

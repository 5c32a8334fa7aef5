"""Rows of the table that changed after a revision."""

import msgspec

from .row import Row


class Changes(msgspec.Struct, frozen=True):
    """One page of the rows that changed after a revision.

    Attributes
    ----------
    revision : int
        Revision after which to read the next page. The rows include every
        change up to it, except those replaced by a later change of the same key.
    rows : list of Row
        Changed rows by ascending revision; a deleted row has the value None.
    is_last : bool
        True if no page follows. Only then do all rows read so far form a consistent
        state of the table.
    """

    revision: int
    rows: list[Row]
    is_last: bool

"""Rows that changed after a revision."""

import msgspec

from .row import Row


class Changes(msgspec.Struct, frozen=True):
    """Answer to a range read by revision.

    Attributes
    ----------
    revision : int
        Every change up to this revision is among the rows, unless a later
        change of the same key has replaced it. Read on from here.
    rows : list of Row
        Changed rows in order of revision; a deleted row has the value None.
    is_last : bool
        True if no changes were left out because of the limit: only then do
        all the rows read so far make up a state that the table has had.
    """

    revision: int
    rows: list[Row]
    is_last: bool

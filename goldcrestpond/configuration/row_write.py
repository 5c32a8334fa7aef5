"""A conditional write of one row."""

import msgspec


class RowWrite(msgspec.Struct, frozen=True):
    """The new value of a row, written only if the row has the expected revision.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        JSON text; None deletes the row.
    expected_revision : int
        Revision that the row must have; 0 if it must not exist.
    """

    key: str
    value: bytes | None
    expected_revision: int

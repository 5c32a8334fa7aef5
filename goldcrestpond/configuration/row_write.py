"""A conditional write of one row."""

import msgspec


class RowWrite(msgspec.Struct, frozen=True):
    """The new value of a row that must have a revision until then.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        JSON text; None deletes the row.
    expected_revision : int
        Revision of the present row; 0 for none.
    """

    key: str
    value: bytes | None
    expected_revision: int

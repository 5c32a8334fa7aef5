"""A write of a transactional batch."""

import msgspec


class Write(msgspec.Struct, frozen=True):
    """The new value of one row.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        JSON text; None deletes the row.
    """

    key: str
    value: bytes | None

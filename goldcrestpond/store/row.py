"""One row of the table service."""

import msgspec


class Row(msgspec.Struct, frozen=True):
    """State of one key of the table.

    Attributes
    ----------
    key : str
        Key; may contain ``/``.
    value : bytes or None
        JSON text; None if the key has no row.
    revision : int
        Revision of the table at the last write of the key; 0 if never written.
    """

    key: str
    value: bytes | None
    revision: int

"""The last change of one resource's row."""

import msgspec


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True):
    """State of one row after its last change.

    Attributes
    ----------
    key : str
        Table key of the resource.
    revision : int
        Revision of the table that the change made.
    value : bytes or None
        JSON text of the row; None if the change deleted it.
    """

    key: str
    revision: int
    value: bytes | None

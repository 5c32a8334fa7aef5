"""A condition of a transactional batch."""

import msgspec


class Condition(msgspec.Struct, frozen=True):
    """Requires that the row of a key has a given revision.

    Attributes
    ----------
    key : str
        Key of the row.
    revision : int
        Expected revision; 0 means that the key has no row.
    """

    key: str
    revision: int

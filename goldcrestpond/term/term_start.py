"""Where a term begins in a group's log."""

import msgspec


class TermStart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The last position of the former history that a term took over.

    Attributes
    ----------
    term : int
        The term.
    position : int
        Entries up to here are of former terms.
    """

    term: int
    position: int

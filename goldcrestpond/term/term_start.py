"""The last log position that a term took over from previous terms."""

import msgspec


class TermStart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Start of a term in the log: the last position that it took over.

    Attributes
    ----------
    term : int
        The term.
    position : int
        Entries up to and including this position belong to previous terms.
    """

    term: int
    position: int

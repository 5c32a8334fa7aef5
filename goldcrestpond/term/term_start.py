"""Log position at which a term begins."""

import msgspec


class TermStart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The last log position that a term took over from previous terms.

    Attributes
    ----------
    term : int
        The term.
    position : int
        Entries up to and including this position belong to previous terms.
    """

    term: int
    position: int

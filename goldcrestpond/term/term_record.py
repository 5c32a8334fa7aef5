"""The row of a group in the platform's table."""

import msgspec

from .term_start import TermStart


class TermRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may promote for which term, and where past terms began.

    A term belongs to the one promoter that a write of this row issued it to;
    ``issued_term`` only rises, so no term is issued twice. A promoter may use
    its term at any later time, also while the platform is down: the row then
    serves as a ticket.

    Attributes
    ----------
    issued_term : int
        Highest term issued so far.
    issued_to : str
        Promoter that it was issued to.
    primary : str
        Database of the newest recorded primary; empty if none is known.
    starts : tuple of TermStart
        Recorded starts in order of term; the last one is the primary's.
    """

    issued_term: int
    issued_to: str
    primary: str = ""
    starts: tuple[TermStart, ...] = ()

    @property
    def established_term(self) -> int:
        """Term of the newest recorded primary; 0 if none is known."""
        return self.starts[-1].term if self.starts else 0

"""A group's row in the platform's table of terms."""

import msgspec

from .term_start import TermStart


class TermRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which promoter was issued which term, and where past terms began.

    Only the promoter that a write of this row issued a term to may use it;
    ``issued_term`` only rises, so no term is issued twice. The promoter may
    use its term at any later time, even while the platform is down.

    Attributes
    ----------
    issued_term : int
        Highest term issued so far.
    issued_to : str
        Promoter that ``issued_term`` was issued to.
    primary : str
        Name of the newest recorded primary; empty if none is known.
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

"""Changes to a group's record that a promoter writes on its condition."""

import msgspec

from .term_record import TermRecord
from .term_start import TermStart

# Tokens of older terms are bounded by the lowest start that is kept.
START_LIMIT = 64


def issue_term(
    record: TermRecord | None, highest_seen_term: int, promoter: str
) -> TermRecord:
    """Return the record that issues the next free term to ``promoter``."""
    if record is None:
        return TermRecord(highest_seen_term + 1, promoter)
    term = max(record.issued_term, highest_seen_term) + 1
    return msgspec.structs.replace(record, issued_term=term, issued_to=promoter)


def record_primary(
    record: TermRecord | None, primary: str, start: TermStart
) -> TermRecord | None:
    """Return the record with a new primary; None if it holds a newer one."""
    if record is None:
        return TermRecord(start.term, "", primary, (start,))
    if record.established_term >= start.term:
        return None
    return msgspec.structs.replace(
        record,
        issued_term=max(record.issued_term, start.term),
        primary=primary,
        starts=(*record.starts, start)[-START_LIMIT:],
    )


def has_issued(record: TermRecord | None, term: int, promoter: str) -> bool:
    """Return whether the record shows that a write of one's own took effect."""
    if record is None:
        return False
    return (record.issued_term, record.issued_to) == (term, promoter)

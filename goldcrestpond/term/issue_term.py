"""Changes to a group's term record, which promoters write conditionally."""

import msgspec

from .term_record import TermRecord
from .term_start import TermStart

# Only this many term starts are kept. A session token of an earlier term is compared
# with the lowest start that is kept.
START_LIMIT = 64


def issue_term(
    record: TermRecord | None, highest_seen_term: int, promoter: str
) -> TermRecord:
    """Return a record that issues the next unused term to ``promoter``."""
    if record is None:
        return TermRecord(highest_seen_term + 1, promoter)
    term = max(record.issued_term, highest_seen_term) + 1
    return msgspec.structs.replace(record, issued_term=term, issued_to=promoter)


def record_primary(
    record: TermRecord | None, primary: str, start: TermStart
) -> TermRecord | None:
    """Return the record with a new primary, None if it has this or a later term."""
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
    """Return whether the record issues ``term``, as its newest, to ``promoter``.

    If so, the promoter's write of the record took effect.
    """
    if record is None:
        return False
    return (record.issued_term, record.issued_to) == (term, promoter)

"""What a group's record lacks."""

from enum import Enum, auto

from ..group.database_status import DatabaseStatus
from .term_record import TermRecord


class RecordUpdate(Enum):
    """What is to be written to a group's record.

    Members
    -------
    ESTABLISH : the present primary and the start of its term.
    ISSUE : the next term, in advance, to a promoter that lives.
    """

    ESTABLISH = auto()
    ISSUE = auto()


def find_record_update(
    record: TermRecord | None, primary: DatabaseStatus | None, promoter: str
) -> RecordUpdate | None:
    """Return what the record lacks as far as this promoter knows.

    Parameters
    ----------
    record : TermRecord or None
        Newest known record.
    primary : DatabaseStatus or None
        Status of the present primary.
    promoter : str
        This promoter, ``INSTANCE/START``: a term issued to a former start of
        the same instance is lost with it.
    """
    if primary is None:
        return None
    if record is None or record.established_term < primary.term:
        return RecordUpdate.ESTABLISH
    if record.established_term > primary.term:
        return None
    if record.issued_term <= primary.term:
        return RecordUpdate.ISSUE
    holder = record.issued_to
    is_former_start = instance_of(holder) == instance_of(promoter)
    if is_former_start and holder != promoter:
        return RecordUpdate.ISSUE
    return None


def instance_of(promoter: str) -> str:
    """Return the instance of a promoter."""
    return promoter.rpartition("/")[0]

"""Which update a group's term record needs next."""

from enum import Enum, auto

from ..group.database_status import DatabaseStatus
from .term_record import TermRecord


class RecordUpdate(Enum):
    """Update that a group's term record needs.

    Members
    -------
    ESTABLISH : record the present primary and the start of its term.
    ISSUE : issue the next term to a running promoter, before it is needed.
    """

    ESTABLISH = auto()
    ISSUE = auto()


def find_record_update(
    record: TermRecord | None, primary: DatabaseStatus | None, promoter: str
) -> RecordUpdate | None:
    """Return the update that the record needs, None if it is up to date.

    Parameters
    ----------
    record : TermRecord or None
        Newest known record.
    primary : DatabaseStatus or None
        Status of the present primary; None if there is none.
    promoter : str
        This promoter, ``INSTANCE/START``; START tells when its process started. A
        term that was issued to a previous process of the same instance can't be
        used, and the next term is issued.

    Returns
    -------
    RecordUpdate or None
        The update; None also if the record names a later primary.
    """
    if primary is None:
        return None
    if record is None or record.established_term < primary.term:
        return RecordUpdate.ESTABLISH
    if record.established_term > primary.term:
        return None
    if record.issued_term <= primary.term:
        return RecordUpdate.ISSUE
    issued_to = record.issued_to
    is_same_instance = instance_of(issued_to) == instance_of(promoter)
    if is_same_instance and issued_to != promoter:
        return RecordUpdate.ISSUE
    return None


def instance_of(promoter: str) -> str:
    """Return the instance name of a promoter ``INSTANCE/START``."""
    return promoter.rpartition("/")[0]

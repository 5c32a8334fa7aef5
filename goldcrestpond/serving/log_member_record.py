"""What the store records of the databases whose logs may hold acknowledged commits."""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from .log_members import (
    FORGOTTEN_MAX,
    UNLISTED_RETENTION,
    LogMember,
    LogMembers,
    RemovedDatabase,
    forget,
    record_leader,
)
from .row_fields import Count


class _MemberBody(msgspec.Struct, frozen=True):
    id: str
    born: Count = 0


class _RecordBody(msgspec.Struct, frozen=True):
    """JSON value of the row of one service; later releases may add fields.

    Attributes
    ----------
    members : list of _MemberBody
        The listed databases, and the removed ones that are not forgotten.
    forgotten : list of _MemberBody
        Removed ones whose logs were proved not to be needed.
    leader : str
        Id of the last leader; empty if unknown.
    term : int
        Its term.
    """

    members: list[_MemberBody]
    forgotten: list[_MemberBody] = []
    leader: str = ""
    term: Count = 0


@dataclass(frozen=True, slots=True)
class LogMemberRecord:
    """The databases of one service, as recorded in the store.

    Attributes
    ----------
    members : frozenset of LogMember
        The listed databases, and the removed ones that are not forgotten.
    forgotten : tuple of LogMember
        The last ones whose logs were proved not to be needed.
    leader_id : str
        Id of the last leader; empty if unknown.
    leader_term : int
        Its term; 0 if unknown.
    """

    members: frozenset[LogMember] = frozenset()
    forgotten: tuple[LogMember, ...] = ()
    leader_id: str = ""
    leader_term: int = 0


def encode_record(record: LogMemberRecord) -> bytes:
    """Return the value of a row."""
    return msgspec.json.encode(
        _RecordBody(
            [_MemberBody(*member) for member in sorted(record.members)],
            [_MemberBody(*member) for member in record.forgotten],
            record.leader_id,
            record.leader_term,
        )
    )


def decode_record(value: bytes) -> LogMemberRecord:
    """Return the record in the value of a row.

    Raises
    ------
    DECODE_ERRORS
        If it is none.
    """
    body = msgspec.json.decode(value, type=_RecordBody)
    return LogMemberRecord(
        frozenset(LogMember(each.id, each.born) for each in body.members),
        tuple(LogMember(each.id, each.born) for each in body.forgotten),
        body.leader,
        body.term,
    )


def make_record(members: LogMembers, listed: Iterable[LogMember]) -> LogMemberRecord:
    """Return what this process knows, as a record."""
    return LogMemberRecord(
        frozenset(listed) | members.removed.keys(),
        tuple(members.forgotten),
        members.leader_id,
        members.leader_term,
    )


def merge_record(
    members: LogMembers,
    record: LogMemberRecord,
    listed: Set[LogMember],
    now: timedelta,
) -> tuple[list[LogMember], list[LogMember]]:
    """Take over what a record says, as far as this process does not know better.

    A database that is in the record and not listed counts as removed now. One that
    another process has forgotten by proof is forgotten after the retention: until then
    the record may be older than its last listing.

    Parameters
    ----------
    members : LogMembers
        What this process knows.
    record : LogMemberRecord
        What the store has.
    listed : set of LogMember
        The listed databases.
    now : timedelta
        Current time.

    Returns
    -------
    tuple of two lists of LogMember
        Those taken over as removed, and those that are forgotten now.
    """
    known = listed | members.removed.keys() | set(members.forgotten)
    taken = sorted(record.members - known)
    for member in taken:
        members.removed[member] = RemovedDatabase(None, now)
    forgotten = [
        member
        for member in record.forgotten
        if member in members.removed
        and now - members.removed[member].removed_at >= UNLISTED_RETENTION
    ]
    for member in forgotten:
        forget(members, member)
    record_leader(members, record.leader_id, record.leader_term)
    return taken, forgotten


def update_record(
    record: LogMemberRecord, own: LogMemberRecord, listed: Set[LogMember]
) -> LogMemberRecord:
    """Return a record with the changes that one process knows of.

    Nothing is dropped but what this process knows to be forgotten by proof, since it
    has merged the record. What another one has forgotten is not added again, unless it
    is listed.

    Parameters
    ----------
    record : LogMemberRecord
        What the store has.
    own : LogMemberRecord
        What this process knows, after it has merged the record.
    listed : set of LogMember
        The databases that are listed for this process.
    """
    members = own.members - (set(record.forgotten) - listed)
    dropped_now = tuple(m for m in own.forgotten if m in record.members)
    earlier = tuple(m for m in record.forgotten if m not in dropped_now)
    forgotten = tuple(m for m in earlier + dropped_now if m not in members)
    newer = own if own.leader_term > record.leader_term else record
    return LogMemberRecord(
        members, forgotten[-FORGOTTEN_MAX:], newer.leader_id, newer.leader_term
    )


def combine_records(
    current: LogMemberRecord, earlier: Iterable[LogMemberRecord]
) -> LogMemberRecord:
    """Return a record with the databases of earlier eras of the store.

    These rows come from the copy that the store was restored from, so that what they
    call forgotten may have been listed again since.
    """
    records = [current, *earlier]
    newest = max(records, key=lambda record: record.leader_term)
    members = frozenset().union(*(record.members for record in records))
    return LogMemberRecord(
        members - set(current.forgotten),
        current.forgotten,
        newest.leader_id,
        newest.leader_term,
    )

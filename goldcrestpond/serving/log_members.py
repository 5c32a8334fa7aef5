"""The databases of a service whose logs may hold acknowledged commits.

These are the listed ones and those that were removed from the registry, until it is
proved that the listed replicas have all that a removed one had received.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from ..group.log_position import LogPosition
from .database import Database
from .leadership import Leadership
from .replica_progress import ReplicaProgress

# A database may run and receive for this long after its entry was removed.
UNLISTED_RETENTION = timedelta(seconds=30)
REMOVED_MAX = 16
FORGOTTEN_MAX = 8


class LogMember(NamedTuple):
    """A database between two starts, which may have a new log after each.

    Attributes
    ----------
    database_id : str
        Its id.
    started_at_ms : int
        Wall time of its start in Unix ms; 0 if unknown.
    """

    database_id: str
    started_at_ms: int


class RemovedDatabase:
    """A database that was removed from the registry.

    Attributes
    ----------
    database : Database or None
        Its last entry; None if it is known from the store's record only.
    removed_at : timedelta
        When it was removed, or when this process learned of it from the record.
    required : LogPosition or None
        Position of the leader after the retention, which covers all commits that the
        database may have received; None until such a position is known.
    epoch : int
        Epoch of the leadership in which ``required`` was sampled.
    """

    __slots__ = ("database", "epoch", "removed_at", "required")

    def __init__(self, database: Database | None, removed_at: timedelta):
        self.database = database
        self.removed_at = removed_at
        self.required: LogPosition | None = None
        self.epoch = 0


class LogMembers:
    """What this process knows of the removed databases of one service.

    Attributes
    ----------
    removed : dict of LogMember to RemovedDatabase
        Those whose logs may hold commits that a listed replica lacks, in the order of
        their removal.
    forgotten : list of LogMember
        The last ones whose logs are proved not to be needed.
    received : dict of LogMember to tuple of int and LogPosition
        Epoch, and the position that a listed replica reported to have received.
    leader_id : str
        Id of the last leader that this process or the record knows; empty if unknown.
    leader_term : int
        Its term.
    """

    __slots__ = ("forgotten", "leader_id", "leader_term", "received", "removed")

    def __init__(self) -> None:
        self.removed: dict[LogMember, RemovedDatabase] = {}
        self.forgotten: list[LogMember] = []
        self.received: dict[LogMember, tuple[int, LogPosition]] = {}
        self.leader_id = ""
        self.leader_term = 0


def identify_member(database: Database) -> LogMember:
    """Return the member that an entry of the registry describes."""
    return LogMember(database.database_id, database.started_at_ms)


def record_leader(members: LogMembers, database_id: str, term: int) -> None:
    """Record that a database led in a term; those of earlier terms are ignored."""
    if term > members.leader_term:
        members.leader_id, members.leader_term = database_id, term


def record_removed(members: LogMembers, database: Database, now: timedelta) -> None:
    """Record that a database was removed from the registry."""
    member = identify_member(database)
    members.removed.pop(member, None)
    members.removed[member] = RemovedDatabase(database, now)


def record_listed(members: LogMembers, databases: Iterable[Database]) -> None:
    """Record that databases are listed; they may be listed again after a removal.

    One that has started again under its id may have lost its log: the removed one
    stays.
    """
    for database in databases:
        member = identify_member(database)
        members.removed.pop(member, None)
        if member in members.forgotten:
            members.forgotten.remove(member)


def find_unaddressed(members: LogMembers) -> frozenset[LogMember]:
    """Return the removed databases whose addresses are not known."""
    return frozenset(m for m, each in members.removed.items() if each.database is None)


def record_received(
    members: LogMembers, member: LogMember, position: LogPosition, epoch: int
) -> None:
    """Record the position that a listed replica reported to have received."""
    members.received[member] = (epoch, position)


def forget_proved(
    members: LogMembers,
    leadership: Leadership,
    replicas: Mapping[LogMember, ReplicaProgress],
) -> dict[LogMember, RemovedDatabase]:
    """Forget the removed databases whose logs are proved not to be needed; return them.

    A commit of an earlier leader that the present one lacks is lost already. So once
    all listed replicas have the log up to where the leader was after the database
    stopped receiving, they have each acknowledged commit that it had.

    Parameters
    ----------
    members : LogMembers
        The removed databases.
    leadership : Leadership
        Samples of the leader's position.
    replicas : mapping of LogMember to ReplicaProgress
        Positions of the listed databases other than the leader. Without any, nothing
        is proved: the leader may be the only one left with the commits.
    """
    forgotten = {
        member: removed
        for member, removed in members.removed.items()
        if replicas
        and _update_required(removed, leadership)
        and not _missing(members, removed, replicas)
    }
    for member in forgotten:
        forget(members, member)
    return forgotten


def drop_excess(members: LogMembers) -> list[LogMember]:
    """Forget the databases removed first beyond ``REMOVED_MAX``; return them.

    What proves that the logs of later ones are not needed proves it for theirs too.
    """
    excess = list(members.removed)[: max(0, len(members.removed) - REMOVED_MAX)]
    for member in excess:
        forget(members, member)
    return excess


def forget(members: LogMembers, member: LogMember) -> None:
    """Forget a removed database whose log is not needed."""
    del members.removed[member]
    members.forgotten = [*members.forgotten, member][-FORGOTTEN_MAX:]
    if not members.removed:
        members.received.clear()


def find_unproved(
    members: LogMembers,
    replicas: Mapping[LogMember, ReplicaProgress],
) -> set[LogMember]:
    """Return the listed replicas that are not known to have what is required."""
    return {
        replica
        for removed in members.removed.values()
        if removed.required is not None
        for replica in _missing(members, removed, replicas)
    }


def proof_due_at(members: LogMembers) -> timedelta | None:
    """Return when the retention of the database removed first ends, or None."""
    times = [removed.removed_at for removed in members.removed.values()]
    return min(times) + UNLISTED_RETENTION if times else None


def _update_required(removed: RemovedDatabase, leadership: Leadership) -> bool:
    """Sample what is required, once an epoch; return whether it is known."""
    if removed.epoch != leadership.epoch:
        removed.required = None
    if removed.required is None:
        sample = leadership.oldest_sample_since(removed.removed_at + UNLISTED_RETENTION)
        if sample is not None:
            removed.required, removed.epoch = sample.position, leadership.epoch
    return removed.required is not None


def _missing(
    members: LogMembers,
    removed: RemovedDatabase,
    replicas: Mapping[LogMember, ReplicaProgress],
) -> list[LogMember]:
    return [
        member
        for member, progress in replicas.items()
        if not _has_received(members, member, progress, removed)
    ]


def _has_received(
    members: LogMembers,
    member: LogMember,
    progress: ReplicaProgress,
    removed: RemovedDatabase,
) -> bool:
    if progress.has_reached(removed.required, removed.epoch):
        return True
    epoch, position = members.received.get(member, (0, None))
    return (
        epoch == removed.epoch
        and position is not None
        and (position >= removed.required)
    )

"""Which database is to lead next, and whether that loses nothing."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..group.role import Role
from .database_report import DatabaseReport


@dataclass(frozen=True, slots=True)
class CandidateChoice:
    """The outcome of comparing the logs that could be read.

    Attributes
    ----------
    database_id : str
        The candidate; empty if none may be named.
    reason : str
        Why it may or may not be.
    """

    database_id: str
    reason: str


def next_term(reports: Mapping[str, DatabaseReport], known_term: int) -> int:
    """Return the term that follows ``known_term`` and those that databases know."""
    return 1 + max(
        known_term, *(max(r.term, r.received.term) for r in reports.values())
    )


def leading(reports: Mapping[str, DatabaseReport]) -> str:
    """Return the database that says that it leads in the newest term, or ''."""
    primaries = {i: r.term for i, r in reports.items() if r.role is Role.PRIMARY}
    return max(primaries, key=primaries.__getitem__, default="")


def choose_candidate(
    paused: Mapping[str, DatabaseReport],
    replicas: frozenset[str],
    leaving: frozenset[str],
) -> CandidateChoice:
    """Choose among replicas that have stopped receiving.

    A commit that was acknowledged lies on the leader and on one replica that has
    received it. Once every replica has stopped, none is acknowledged any more and
    the longest of their logs holds all that were; a replica that could not be read
    may hold one that no other has.

    Parameters
    ----------
    paused : mapping of str to DatabaseReport
        Reports given by replicas after they had stopped receiving.
    replicas : frozenset of str
        All databases that may have received commits of the present leader.
    leaving : frozenset of str
        Those whose log goes with them.
    """
    unread = replicas - paused.keys()
    if unread:
        return CandidateChoice("", f"not read: {', '.join(sorted(unread))}")
    if not paused:
        return CandidateChoice("", "no replica is left")
    longest = max(report.received for report in paused.values())
    holders = [i for i, report in paused.items() if report.received == longest]
    staying = sorted(set(holders) - leaving)
    if staying:
        return CandidateChoice(staying[0], f"longest log, {longest}")
    # Its successor is chosen once it has passed its log on.
    return CandidateChoice(sorted(holders)[0], f"longest log, leaving, {longest}")


def choose_planned_candidate(
    reports: Mapping[str, DatabaseReport],
    replicas: frozenset[str],
    leaving: frozenset[str],
) -> CandidateChoice:
    """Choose the replica that goes on receiving while the others are paused."""
    present = [
        database_id
        for database_id in replicas - leaving
        if database_id in reports and reports[database_id].role is Role.REPLICA
    ]
    if not present:
        return CandidateChoice("", "no replica that stays was read")
    longest = max(present, key=lambda i: (reports[i].received, i))
    return CandidateChoice(longest, f"longest log, {reports[longest].received}")


def has_caught_up(
    candidate: DatabaseReport, others: Mapping[str, DatabaseReport]
) -> bool:
    """Return whether a candidate's log holds what paused replicas have."""
    return all(candidate.received >= report.received for report in others.values())

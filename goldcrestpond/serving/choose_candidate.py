"""Chooses the database to promote so that no acknowledged commit is lost."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition
from ..group.role import Role
from .database_report import DatabaseReport
from .highest_acknowledged import HighestAcknowledged


@dataclass(frozen=True, slots=True)
class CandidateChoice:
    """Result of comparing the logs of the databases that could be read.

    Attributes
    ----------
    database_id : str
        The database to promote; empty if none may be promoted.
    reason : str
        Why it was chosen, or why none was.
    """

    database_id: str
    reason: str


def next_term(reports: Mapping[str, DatabaseReport], known_term: int) -> int:
    """Return the term after ``known_term`` and after all terms in the reports."""
    return 1 + max(
        known_term, *(max(r.term, r.received.term) for r in reports.values())
    )


def find_newest_primary(reports: Mapping[str, DatabaseReport]) -> str:
    """Return the database that reports to be primary in the newest term, or ''."""
    primaries = {i: r.term for i, r in reports.items() if r.role is Role.PRIMARY}
    return max(primaries, key=primaries.__getitem__, default="")


def choose_candidate(
    paused: Mapping[str, DatabaseReport],
    unread: frozenset[str],
    acknowledged: HighestAcknowledged,
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    """Choose among the replicas that have stopped receiving.

    An acknowledged commit is in the leader's log and in the log of at least one
    replica. Once every replica has stopped receiving, no further commit can be
    acknowledged, and the longest of their logs contains all acknowledged ones, unless
    a replica could not be read, listed or not, or has lost its log, as one that has
    started again may have before that is known. So the longest log must reach the
    highest acknowledged position wherever that is known.

    Parameters
    ----------
    paused : mapping of str to DatabaseReport
        Reports that replicas gave after they had stopped receiving.
    unread : frozenset of str
        Other databases that may have received commits of the current leader.
    acknowledged : HighestAcknowledged
        Highest acknowledged position.
    leaving_since : mapping of str to timedelta
        Time since which databases are leaving; their logs are lost when they end.
    """
    if not paused:
        return CandidateChoice("", "no replica was read")
    longest = max(report.received for report in paused.values())
    detail = f"databases not read: {', '.join(sorted(unread)) or 'none'}; "
    if acknowledged.position is None:
        if not unread:
            return _choose_longest(paused, longest, leaving_since)
        missing = ", ".join(acknowledged.missing_instances)
        return CandidateChoice("", f"{detail}no answer from instances {missing}")
    if longest < acknowledged.position:
        detail += f"longest log {longest} is below {acknowledged.position}"
        return CandidateChoice("", detail)
    return _choose_longest(paused, longest, leaving_since)


def choose_longest_log(
    paused: Mapping[str, DatabaseReport],
    acknowledged: HighestAcknowledged,
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    """Choose the longest log that could be read, though it may lack commits.

    One that lacks a commit that is known to be acknowledged is not chosen.
    """
    if not paused:
        return CandidateChoice("", "no replica was read")
    longest = max(report.received for report in paused.values())
    known = acknowledged.known_position
    if known is not None and longest < known:
        detail = f"longest log {longest} lacks {known}, which is acknowledged"
        return CandidateChoice("", detail)
    return _choose_longest(paused, longest, leaving_since)


def _choose_longest(
    paused: Mapping[str, DatabaseReport],
    longest: LogPosition,
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    with_longest = sorted(
        i for i, report in paused.items() if report.received == longest
    )
    staying = [i for i in with_longest if i not in leaving_since]
    if staying:
        return CandidateChoice(staying[0], f"longest log, {longest}")
    # A leaving database leads until others have received its log. The one that began
    # to leave last has the most time left for this.
    last = max(with_longest, key=leaving_since.__getitem__)
    return CandidateChoice(last, f"longest log, leaving, {longest}")


def choose_planned_candidate(
    reports: Mapping[str, DatabaseReport],
    replicas: frozenset[str],
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    """Choose the candidate of a switchover.

    It goes on receiving while the other replicas are paused.
    """
    eligible = [
        database_id
        for database_id in replicas - leaving_since.keys()
        if database_id in reports and reports[database_id].role is Role.REPLICA
    ]
    if not eligible:
        return CandidateChoice("", "no replica was read that is not leaving")
    longest = max(eligible, key=lambda i: (reports[i].received, i))
    return CandidateChoice(longest, f"longest log, {reports[longest].received}")


def has_caught_up(candidate: DatabaseReport, positions: Iterable[LogPosition]) -> bool:
    """Return whether the candidate's log reaches all of these positions."""
    return all(candidate.received >= position for position in positions)

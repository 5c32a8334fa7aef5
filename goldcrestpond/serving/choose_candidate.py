"""Which database is to lead next, and whether that loses nothing."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition
from ..group.role import Role
from .database_report import DatabaseReport
from .highest_acknowledged import HighestAcknowledged


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


def find_newest_primary(reports: Mapping[str, DatabaseReport]) -> str:
    """Return the database that says that it leads in the newest term, or ''."""
    primaries = {i: r.term for i, r in reports.items() if r.role is Role.PRIMARY}
    return max(primaries, key=primaries.__getitem__, default="")


def choose_candidate(
    paused: Mapping[str, DatabaseReport],
    unread: frozenset[str],
    bound: HighestAcknowledged,
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    """Choose among replicas that have stopped receiving.

    A commit that was acknowledged lies on the leader and on one replica that has
    received it. Once every replica has stopped, none is acknowledged any more and
    the longest of their logs holds all that were. A replica that could not be read
    may hold one that no other has, whether it is listed or gone: then the longest
    log must reach as far as any commit that was acknowledged.

    Parameters
    ----------
    paused : mapping of str to DatabaseReport
        Reports given by replicas after they had stopped receiving.
    unread : frozenset of str
        Other databases that may have received commits of the present leader.
    bound : HighestAcknowledged
        What is known of acknowledged commits; of use where some are unread.
    leaving_since : mapping of str to timedelta
        Reading since which databases are leaving whose log goes with them.
    """
    if not paused:
        return CandidateChoice("", "no replica was read")
    longest = max(report.received for report in paused.values())
    missing = ", ".join(sorted(unread))
    if unread and bound.position is None:
        detail = f"not read: {missing}; not told by: {', '.join(bound.unknown)}"
        return CandidateChoice("", detail)
    if unread and longest < bound.position:
        detail = f"not read: {missing}; {longest} is below {bound.position}"
        return CandidateChoice("", detail)
    return _choose_longest(paused, longest, leaving_since)


def choose_longest_log(
    paused: Mapping[str, DatabaseReport], leaving_since: Mapping[str, timedelta]
) -> CandidateChoice:
    """Choose the longest log that is left, whatever else was acknowledged."""
    if not paused:
        return CandidateChoice("", "no replica was read")
    longest = max(report.received for report in paused.values())
    return _choose_longest(paused, longest, leaving_since)


def _choose_longest(
    paused: Mapping[str, DatabaseReport],
    longest: LogPosition,
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    holders = sorted(i for i, report in paused.items() if report.received == longest)
    staying = [i for i in holders if i not in leaving_since]
    if staying:
        return CandidateChoice(staying[0], f"longest log, {longest}")
    # Its successor is chosen once it has passed its log on; the one that began to
    # leave last has the most time for it.
    last = max(holders, key=leaving_since.__getitem__)
    return CandidateChoice(last, f"longest log, leaving, {longest}")


def choose_planned_candidate(
    reports: Mapping[str, DatabaseReport],
    replicas: frozenset[str],
    leaving_since: Mapping[str, timedelta],
) -> CandidateChoice:
    """Choose the replica that goes on receiving while the others are paused."""
    present = [
        database_id
        for database_id in replicas - leaving_since.keys()
        if database_id in reports and reports[database_id].role is Role.REPLICA
    ]
    if not present:
        return CandidateChoice("", "no replica that stays was read")
    longest = max(present, key=lambda i: (reports[i].received, i))
    return CandidateChoice(longest, f"longest log, {reports[longest].received}")


def has_caught_up(candidate: DatabaseReport, positions: Iterable[LogPosition]) -> bool:
    """Return whether a candidate's log reaches as far as all of these."""
    return all(candidate.received >= position for position in positions)

"""State of a database group as one process knows it from its status polls."""

from collections.abc import Iterable
from datetime import timedelta

from ..group.database_status import DatabaseStatus
from ..group.log_position import LogPosition
from ..group.role import Role
from .majority import majority_of
from .status_sample import StatusSample
from .verified_sample import VerifiedSample

# Older statuses confirm no commit: this process may have been paused since it
# received them.
EVIDENCE_LIFETIME = timedelta(seconds=1)
# In a group of one database, every position counts as confirmed.
_MAX_POSITION = (1 << 63) - 1


class GroupView:
    """Newest status of each database, and the group's state derived from them.

    Parameters
    ----------
    databases : iterable of str
        Names of all databases of the group, reachable or not; a majority is
        more than half of them.
    """

    __slots__ = (
        "_first_open_term",
        "_majority",
        "_primary",
        "_samples",
        "_verified",
        "databases",
    )

    def __init__(self, databases: Iterable[str]):
        self.databases = tuple(databases)
        self._majority = majority_of(len(self.databases))
        self._samples: dict[str, StatusSample] = {}
        # Computed when a status changes: requests read them far more often.
        self._first_open_term = 0
        self._primary: StatusSample | None = None
        self._verified: VerifiedSample | None = None

    @property
    def majority(self) -> int:
        """Number of databases that make up a majority."""
        return self._majority

    def observe(self, sample: StatusSample) -> bool:
        """Record a sample unless a newer one of the same database is known.

        Polls over several connections may be answered out of order: a sample
        with a lower term, or an earlier one of the same term, is outdated.

        Returns
        -------
        bool
            True if the sample was recorded; False if it is outdated or the
            database does not belong to the group.
        """
        database = sample.status.database
        if database not in self.databases:
            return False
        known = self._samples.get(database)
        if known is not None and _sample_order(sample) < _sample_order(known):
            return False
        self._samples[database] = sample
        self._first_open_term = self._find_first_open_term()
        self._primary = self._find_primary()
        self._verified = self._find_verified_sample()
        return True

    def sample(self, database: str) -> StatusSample | None:
        """Return the newest sample of a database, None if it never answered."""
        return self._samples.get(database)

    def samples(self) -> list[StatusSample]:
        """Return the newest sample of each database that has answered."""
        return list(self._samples.values())

    def highest_term(self) -> int:
        """Return the highest term that any database has joined, 0 if unknown."""
        return max((s.status.term for s in self._samples.values()), default=0)

    def first_open_term(self) -> int:
        """Return the lowest term whose commits may still be confirmed.

        Once a majority has joined a term, commits of lower terms can't be
        confirmed. A primary exists only after a majority has joined its term,
        even if this process has not polled that majority.
        """
        return self._first_open_term

    def primary(self) -> StatusSample | None:
        """Return the sample of the present primary, None if none is known."""
        return self._primary

    def confirmed_position(self, now: timedelta) -> LogPosition | None:
        """Return the highest position that a majority holds in the primary's term.

        The primary holds what it reported as committed. A replica counts only
        if its status is at most `EVIDENCE_LIFETIME` old, it is in the primary's
        term and unfenced, and its last entry is of that term: otherwise its
        position may belong to a different history.
        """
        primary = self.primary()
        if primary is None:
            return None
        term = primary.status.term
        positions = [
            sample.status.position
            for sample in self._samples.values()
            if sample is not primary
            and _counts_towards_majority(sample.status, term)
            and now - sample.sent_at <= EVIDENCE_LIFETIME
        ]
        positions.sort(reverse=True)
        replicas_needed = self._majority - 1
        if replicas_needed == 0:
            return LogPosition(term, _MAX_POSITION)
        if len(positions) < replicas_needed:
            return None
        return LogPosition(term, positions[replicas_needed - 1])

    def replicated_position(self) -> int:
        """Return the position that a majority held at its last polls.

        Only for detecting progress: unlike ``confirmed_position``, it counts
        statuses of any age and replicas without an entry of the term.
        """
        primary = self.primary()
        if primary is None:
            return 0
        term = primary.status.term
        positions = [
            sample.status.position
            for sample in self._samples.values()
            if sample is not primary and sample.status.term == term
        ]
        positions.sort(reverse=True)
        replicas_needed = self._majority - 1
        if replicas_needed == 0:
            return primary.status.position
        return (
            positions[replicas_needed - 1] if len(positions) >= replicas_needed else 0
        )

    def verified_sample(self) -> VerifiedSample | None:
        """Return the newest primary position that a majority verifies.

        No later term had accepted a write by ``sampled_after``: it would first
        have needed a fence on a majority, and every majority includes a
        database that was still in this term then.
        """
        return self._verified

    def _find_first_open_term(self) -> int:
        terms = [s.status.term for s in self._samples.values()]
        terms.extend([0] * (len(self.databases) - len(terms)))
        terms.sort(reverse=True)
        primary_terms = (
            s.status.term for s in self._samples.values() if _accepts_writes(s.status)
        )
        return max(terms[self._majority - 1], max(primary_terms, default=0))

    def _find_primary(self) -> StatusSample | None:
        for sample in self._samples.values():
            is_open = sample.status.term >= self._first_open_term
            if _accepts_writes(sample.status) and is_open:
                return sample
        return None

    def _find_verified_sample(self) -> VerifiedSample | None:
        primary = self.primary()
        if primary is None:
            return None
        term = primary.status.term
        times = [
            sample.sent_at
            for sample in self._samples.values()
            if sample is not primary
            and sample.status.term == term
            and not sample.status.fenced
        ]
        times.sort(reverse=True)
        replicas_needed = self._majority - 1
        if len(times) < replicas_needed:
            return None
        sampled_after = min([primary.sent_at, *times[:replicas_needed]])
        return VerifiedSample(LogPosition(term, primary.status.position), sampled_after)


def _sample_order(sample: StatusSample) -> tuple[int, bool, timedelta]:
    """Return the key that orders the samples of one database by age.

    Within a term a database is fenced first and unfenced later, never again
    fenced. So an unfenced status is the newer one, in whatever order polls and
    control statements were sent.
    """
    return sample.status.term, not sample.status.fenced, sample.sent_at


def _accepts_writes(status: DatabaseStatus) -> bool:
    return status.role is Role.PRIMARY and not status.fenced


def _counts_towards_majority(status: DatabaseStatus, term: int) -> bool:
    in_term = status.term == term and not status.fenced
    return in_term and status.last_entry_term == term

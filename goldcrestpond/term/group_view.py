"""What one process knows of a group from its own status polls."""

from collections.abc import Iterable
from datetime import timedelta

from ..group.database_status import DatabaseStatus
from ..group.log_position import LogPosition
from ..group.role import Role
from .majority import majority_of
from .status_sample import StatusSample
from .verified_sample import VerifiedSample

# Evidence that waited longer in a paused process than this is asked for again.
EVIDENCE_LIFETIME = timedelta(seconds=1)
# A group of one database has no replica to wait for.
_EVERY_POSITION = (1 << 63) - 1


class GroupView:
    """Newest status of each database, and what follows from them together.

    Parameters
    ----------
    databases : iterable of str
        Names of all the databases of the group; the majority counts them all,
        reachable or not.
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
        # Requests ask far more often than statuses change.
        self._first_open_term = 0
        self._primary: StatusSample | None = None
        self._verified: VerifiedSample | None = None

    @property
    def majority(self) -> int:
        """Number of databases that make up a majority."""
        return self._majority

    def observe(self, sample: StatusSample) -> bool:
        """Take in a sample; return False if a newer one is known already.

        Polls over several connections may be answered out of order: a lower
        term, or the same term sampled earlier, is outdated.
        """
        database = sample.status.database
        if database not in self.databases:
            return False
        known = self._samples.get(database)
        if known is not None and _order(sample) < _order(known):
            return False
        self._samples[database] = sample
        self._first_open_term = self._find_first_open_term()
        self._primary = self._find_primary()
        self._verified = self._find_verified_sample()
        return True

    def sample(self, database: str) -> StatusSample | None:
        """Return the newest sample of a database."""
        return self._samples.get(database)

    def samples(self) -> list[StatusSample]:
        """Return the newest sample of each database that ever answered."""
        return list(self._samples.values())

    def highest_term(self) -> int:
        """Return the highest term that any database has joined."""
        return max((s.status.term for s in self._samples.values()), default=0)

    def first_open_term(self) -> int:
        """Return the lowest term that may still gather confirmations.

        A majority that has joined a term shuts out all lower terms. A primary
        exists only after such a majority, seen from here or not.
        """
        return self._first_open_term

    def primary(self) -> StatusSample | None:
        """Return the sample of the primary that is not known to be replaced."""
        return self._primary

    def confirmed_position(self, now: timedelta) -> LogPosition | None:
        """Return the highest position that a majority holds in its term.

        The primary holds what it reported as committed. A replica counts if
        it still was in the primary's term, unfenced, and its last entry is of
        that term: only then is its position one of the same history.
        """
        primary = self.primary()
        if primary is None:
            return None
        term = primary.status.term
        held = [
            sample.status.position
            for sample in self._samples.values()
            if sample is not primary
            and _confirms(sample.status, term)
            and now - sample.sent_at <= EVIDENCE_LIFETIME
        ]
        held.sort(reverse=True)
        replicas_needed = self._majority - 1
        if replicas_needed == 0:
            return LogPosition(term, _EVERY_POSITION)
        if len(held) < replicas_needed:
            return None
        return LogPosition(term, held[replicas_needed - 1])

    def replicated_position(self) -> int:
        """Return the position that a majority held when it was last asked.

        It serves to notice progress and, unlike ``confirmed_position``, takes
        evidence of any age and a replica without an entry of the term.
        """
        primary = self.primary()
        if primary is None:
            return 0
        term = primary.status.term
        held = [
            sample.status.position
            for sample in self._samples.values()
            if sample is not primary and sample.status.term == term
        ]
        held.sort(reverse=True)
        needed = self._majority - 1
        if needed == 0:
            return primary.status.position
        return held[needed - 1] if len(held) >= needed else 0

    def verified_sample(self) -> VerifiedSample | None:
        """Return the newest primary position that a majority vouches for.

        No later term had taken a write at ``sampled_after``: it would have
        needed a fence of a majority, one of which was still in this term.
        """
        return self._verified

    def _find_first_open_term(self) -> int:
        terms = [s.status.term for s in self._samples.values()]
        terms.extend([0] * (len(self.databases) - len(terms)))
        terms.sort(reverse=True)
        primary_terms = (
            s.status.term for s in self._samples.values() if _writes(s.status)
        )
        return max(terms[self._majority - 1], max(primary_terms, default=0))

    def _find_primary(self) -> StatusSample | None:
        for sample in self._samples.values():
            is_open = sample.status.term >= self._first_open_term
            if _writes(sample.status) and is_open:
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


def _order(sample: StatusSample) -> tuple[int, bool, timedelta]:
    """Return what orders the samples of one database.

    The fence of a term ends once, so an unfenced status of the same term is
    newer, whatever the order in which polls and control statements were sent.
    """
    return sample.status.term, not sample.status.fenced, sample.sent_at


def _writes(status: DatabaseStatus) -> bool:
    return status.role is Role.PRIMARY and not status.fenced


def _confirms(status: DatabaseStatus, term: int) -> bool:
    in_term = status.term == term and not status.fenced
    return in_term and status.last_entry_term == term

"""Tracks which database of a service leads, by what this process has verified."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from ..group.log_position import LogPosition
from ..group.role import Role
from ..term.verified_sample import VerifiedSample
from .database import Database

# Pause before a database that refused or did not answer is checked again; a promotion
# takes several hundred milliseconds.
RECHECK_PAUSE = timedelta(milliseconds=150)
SAMPLE_SPACING = timedelta(milliseconds=20)  # closer ones add no useful precision
# Each sample is at least the spacing older than the next but one, so that this many
# cover at least 5 s.
SAMPLE_LIMIT = 512


class Leadership:
    """What this process has verified about the leader of one service.

    A database is verified as the leader if it accepted a write, a commit or the start
    of a writing transaction. A sample is the leader's log position with the time at
    which the verification was requested: every commit that was acknowledged before
    that time is at or below the position.

    Attributes
    ----------
    leader_id : str
        Id of the database that was verified last; empty if there is none or if it
        has refused to lead since.
    epoch : int
        Incremented at each change of ``leader_id``; positions of different epochs
        cannot be compared.
    """

    __slots__ = (
        "_epoch_began_at",
        "_failed_at",
        "_refused_ids",
        "_samples",
        "epoch",
        "leader_id",
    )

    def __init__(self) -> None:
        self.leader_id = ""
        self.epoch = 0
        self._epoch_began_at = timedelta.min
        self._failed_at: dict[str, timedelta] = {}
        self._refused_ids: set[str] = set()
        self._samples: deque[VerifiedSample] = deque(maxlen=SAMPLE_LIMIT)

    def record_leader_verified(
        self, database_id: str, position: LogPosition, asked_at: timedelta
    ) -> bool:
        """Record that a database was verified as the leader.

        Parameters
        ----------
        database_id : str
            Id of the database.
        position : LogPosition
            Its log position.
        asked_at : timedelta
            Time at which the verification was requested.

        Returns
        -------
        bool
            True if the leader changed; False if it stayed, or if the result is
            ignored because the leader has changed after ``asked_at``.
        """
        is_change = database_id != self.leader_id
        if is_change:
            if asked_at <= self._epoch_began_at:
                return False
            self._change_leader(database_id, asked_at)
        self._failed_at.pop(database_id, None)
        self._refused_ids.discard(database_id)
        self._add_sample(VerifiedSample(position, asked_at))
        return is_change

    def record_refusal(self, database_id: str, now: timedelta) -> bool:
        """Record that a database refused to lead; return whether it was the leader."""
        self._failed_at[database_id] = now
        self._refused_ids.add(database_id)
        if database_id != self.leader_id:
            return False
        self._change_leader("", now)
        return True

    def record_no_answer(self, database_id: str, now: timedelta) -> None:
        """Record that a database did not answer, so that others are checked first."""
        self._failed_at[database_id] = now

    def next_to_verify(
        self, databases: Iterable[Database], now: timedelta
    ) -> Database | None:
        """Return the database that most likely leads among those to check now."""
        candidates = [d for d in databases if self._may_verify(d.database_id, now)]
        return min(candidates, key=self._rank, default=None)

    def presumed_leader_id(self, databases: Iterable[Database]) -> str:
        """Return the id of the verified leader, or else of the only listed primary.

        Empty if none or several are listed as primary, or if the only one has refused.
        """
        if self.leader_id:
            return self.leader_id
        primaries = [d.database_id for d in databases if d.role is Role.PRIMARY]
        if len(primaries) != 1 or primaries[0] in self._refused_ids:
            return ""
        return primaries[0]

    def clear_samples(self) -> None:
        """Discard all samples, so that reads wait for a new one."""
        self._samples.clear()

    def newest_sample(self) -> VerifiedSample | None:
        """Return the last sample of the current epoch."""
        return self._samples[-1] if self._samples else None

    def newest_term(self) -> int:
        """Return the term of the newest sample; 0 without one."""
        sample = self.newest_sample()
        return 0 if sample is None else sample.position.term

    def oldest_sample_since(self, since: timedelta) -> VerifiedSample | None:
        """Return the oldest sample that was requested at or after a time."""
        for sample in self._samples:
            if sample.sampled_after >= since:
                return sample
        return None

    def _change_leader(self, database_id: str, now: timedelta) -> None:
        self.leader_id = database_id
        self.epoch += 1
        self._epoch_began_at = now
        self._samples.clear()

    def _add_sample(self, sample: VerifiedSample) -> None:
        if self._samples:
            last = self._samples[-1]
            if sample.sampled_after < last.sampled_after:
                return
            if sample.sampled_after == last.sampled_after:
                # Requested at one reading of the clock; a commit between the two is
                # covered only by the higher position.
                if sample.position > last.position:
                    self._samples[-1] = sample
                return
            spaced = sample.sampled_after - last.sampled_after >= SAMPLE_SPACING
            if not spaced and len(self._samples) > 1:
                # Always append the newest sample, and remove the last one if the one
                # before it is close to the newest.
                before = self._samples[-2]
                if sample.sampled_after - before.sampled_after < SAMPLE_SPACING:
                    self._samples.pop()
        self._samples.append(sample)

    def _may_verify(self, database_id: str, now: timedelta) -> bool:
        failed_at = self._failed_at.get(database_id)
        return failed_at is None or now - failed_at >= RECHECK_PAUSE

    def _rank(self, database: Database) -> tuple[bool, bool, timedelta]:
        failed_at = self._failed_at.get(database.database_id, timedelta.min)
        is_leader = database.database_id == self.leader_id
        return (not is_leader, database.role is not Role.PRIMARY, failed_at)

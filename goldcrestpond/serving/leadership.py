"""Which database of a service leads, as far as this process can prove."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from ..group.log_position import LogPosition
from ..group.role import Role
from ..term.verified_sample import VerifiedSample
from .database import Database

# A database that refused to lead is asked again after this time: a promotion
# takes several hundred milliseconds.
RECHECK_PAUSE = timedelta(milliseconds=150)
SAMPLE_SPACING = timedelta(milliseconds=20)  # finer ones add no useful precision
SAMPLE_LIMIT = 512  # with the spacing, at least 10 s of samples


class Leadership:
    """Evidence on the leading database of one service.

    Only a write, a commit or the beginning of a writing transaction that a
    database accepted proves that it leads. A sample is the position of the leader
    with the reading at which the proof was asked for: every commit that was
    acknowledged before that reading is at or below the position.

    Attributes
    ----------
    leader_id : str
        Id of the database that proved last that it leads; empty if none or if
        it has refused since.
    epoch : int
        Raised with each change of ``leader_id``; positions of two epochs are
        not compared.
    """

    __slots__ = (
        "_declined",
        "_epoch_began",
        "_refused",
        "_samples",
        "epoch",
        "leader_id",
    )

    def __init__(self) -> None:
        self.leader_id = ""
        self.epoch = 0
        self._epoch_began = timedelta.min
        self._refused: dict[str, timedelta] = {}
        self._declined: set[str] = set()
        self._samples: deque[VerifiedSample] = deque(maxlen=SAMPLE_LIMIT)

    def record_leader_verified(
        self, database_id: str, position: LogPosition, asked_at: timedelta
    ) -> bool:
        """Take in a proof that was asked for at ``asked_at``.

        Returns
        -------
        bool
            True if the leader changed by it.
        """
        is_change = database_id != self.leader_id
        if is_change:
            if asked_at <= self._epoch_began:
                return False
            self._change_leader(database_id, asked_at)
        self._refused.pop(database_id, None)
        self._declined.discard(database_id)
        self._add_sample(VerifiedSample(position, asked_at))
        return is_change

    def record_refusal(self, database_id: str, now: timedelta) -> bool:
        """Take in that a database refused to lead; True if it was the leader."""
        self._refused[database_id] = now
        self._declined.add(database_id)
        if database_id != self.leader_id:
            return False
        self._change_leader("", now)
        return True

    def record_no_answer(self, database_id: str, now: timedelta) -> None:
        """Take in that a database did not answer; others are asked meanwhile."""
        self._refused[database_id] = now

    def next_to_verify(
        self, databases: Iterable[Database], now: timedelta
    ) -> Database | None:
        """Return the database that most likely leads and may be asked now."""
        open_ones = [d for d in databases if self._may_ask(d.database_id, now)]
        return min(open_ones, key=self._rank, default=None)

    def presumed_leader_id(self, databases: Iterable[Database]) -> str:
        """Return the id of the leader, or of the one that should lead by its word.

        Empty if several or none say that they lead, or if it has just refused.
        """
        if self.leader_id:
            return self.leader_id
        by_word = [d.database_id for d in databases if d.role is Role.PRIMARY]
        if len(by_word) != 1 or by_word[0] in self._declined:
            return ""
        return by_word[0]

    def clear_samples(self) -> None:
        """Drop all samples; reads take a new one."""
        self._samples.clear()

    def newest_sample(self) -> VerifiedSample | None:
        """Return the last sample of the present epoch."""
        return self._samples[-1] if self._samples else None

    def newest_term(self) -> int:
        """Return the newest term of this epoch's samples; 0 without one."""
        sample = self.newest_sample()
        return 0 if sample is None else sample.position.term

    def oldest_sample_since(self, reading: timedelta) -> VerifiedSample | None:
        """Return the oldest sample asked for at or after a reading."""
        for sample in self._samples:
            if sample.sampled_after >= reading:
                return sample
        return None

    def _change_leader(self, database_id: str, now: timedelta) -> None:
        self.leader_id = database_id
        self.epoch += 1
        self._epoch_began = now
        self._samples.clear()

    def _add_sample(self, sample: VerifiedSample) -> None:
        if self._samples:
            last = self._samples[-1]
            if sample.sampled_after <= last.sampled_after:
                return
            spaced = sample.sampled_after - last.sampled_after >= SAMPLE_SPACING
            if not spaced and len(self._samples) > 1:
                # Keep the newest exact; the one before it marks the spacing.
                before = self._samples[-2]
                if sample.sampled_after - before.sampled_after < SAMPLE_SPACING:
                    self._samples.pop()
        self._samples.append(sample)

    def _may_ask(self, database_id: str, now: timedelta) -> bool:
        refused_at = self._refused.get(database_id)
        return refused_at is None or now - refused_at >= RECHECK_PAUSE

    def _rank(self, database: Database) -> tuple[bool, bool, timedelta]:
        refused_at = self._refused.get(database.database_id, timedelta.min)
        is_leader = database.database_id == self.leader_id
        return (not is_leader, database.role is not Role.PRIMARY, refused_at)

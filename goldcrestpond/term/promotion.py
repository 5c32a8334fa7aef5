"""One promoter's attempt to make a database the primary of a new term."""

from collections.abc import Collection

from ..group.database_status import DatabaseStatus
from ..group.role import Role
from .majority import majority_of
from .promotion_step import PromotionStep
from .term_start import TermStart


class Promotion:
    """State machine that fences a majority and then promotes a candidate.

    The term was issued to this promoter alone. A database that joins a term
    accepts it from one promoter only and never returns to a lower term. So a
    promoter that was paused while a later term began is refused at whatever
    step it resumes.

    Parameters
    ----------
    databases : collection of str
        All databases of the group.
    term : int
        The term issued to the promoter.
    promoter : str
        Identity of the promoter.
    preferred : str, default=""
        Database that is promoted unless the last entry of another is newer. Its
        answer to the fence is awaited.
    avoided : collection of str, default=()
        Databases that are promoted only if their last entry is newer than that
        of all others.
    excluded : str, default=""
        Database that is ignored, as if unreachable: a primary that is cut off
        from its replicas may have newer entries than they have.
    """

    __slots__ = (
        "_avoided",
        "_databases",
        "_excluded",
        "_fence_answers",
        "_majority",
        "_preferred",
        "candidate",
        "promoter",
        "start",
        "step",
        "term",
    )

    def __init__(
        self,
        databases: Collection[str],
        term: int,
        promoter: str,
        *,
        preferred: str = "",
        avoided: Collection[str] = (),
        excluded: str = "",
    ):
        self.term = term
        self.promoter = promoter
        self.step = PromotionStep.FENCING
        self.candidate = ""
        self.start: TermStart | None = None
        self._databases = tuple(databases)
        self._majority = majority_of(len(self._databases))
        self._preferred = preferred
        self._avoided = frozenset(avoided)
        self._excluded = excluded
        self._fence_answers: dict[str, DatabaseStatus] = {}

    def databases_to_fence(self) -> list[str]:
        """Return the databases that have not answered the fence request yet."""
        if self.step is not PromotionStep.FENCING:
            return []
        return [
            name
            for name in self._databases
            if name not in self._fence_answers and name != self._excluded
        ]

    def record_fence_answer(self, status: DatabaseStatus) -> None:
        """Record the status of a database that was asked to join the term."""
        if self.step is not PromotionStep.FENCING:
            return
        if (status.term, status.promoter) != (self.term, self.promoter):
            self.step = PromotionStep.SUPERSEDED
            return
        if status.database == self._excluded:
            return
        self._fence_answers[status.database] = status
        is_preferred_awaited = (
            self._preferred and self._preferred not in self._fence_answers
        )
        if len(self._fence_answers) >= self._majority and not is_preferred_awaited:
            self._choose_candidate()

    def record_refusal(self) -> None:
        """Record that a database refused a step because it joined another term."""
        if self.step is not PromotionStep.DONE:
            self.step = PromotionStep.SUPERSEDED

    def record_promote_answer(self, status: DatabaseStatus) -> None:
        """Record the candidate's status after it was asked to become primary."""
        if self.step is not PromotionStep.PROMOTING:
            return
        if (status.term, status.promoter) != (self.term, self.promoter):
            self.step = PromotionStep.SUPERSEDED
        elif status.role is Role.PRIMARY and not status.fenced:
            self.start = TermStart(self.term, status.term_start_position)
            self.step = PromotionStep.DONE

    def _choose_candidate(self) -> None:
        """Choose the only candidate of this term; a failure does not change it.

        Each commit confirmed in a previous term is in the log of at least one
        database of any majority, and the database whose last entry is newest
        holds all of them.
        """
        best = max(self._fence_answers.values(), key=self._candidate_rank)
        self.candidate = best.database
        self.step = PromotionStep.PROMOTING

    def _candidate_rank(self, status: DatabaseStatus) -> tuple[int, int, bool, bool]:
        return (
            status.last_entry_term,
            status.position,
            status.database == self._preferred,
            status.database not in self._avoided,
        )

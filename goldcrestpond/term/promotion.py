"""One attempt of one promoter to give a group a primary for one term."""

from collections.abc import Collection

from ..group.database_status import DatabaseStatus
from ..group.role import Role
from .majority import majority_of
from .promotion_step import PromotionStep
from .term_start import TermStart


class Promotion:
    """Steps from the fence of a majority to the new primary.

    The promoter holds a term that was issued to it alone. Each database binds
    a term to one promoter and leaves all lower terms for good when it joins.
    A promoter that was paused meets a refusal at whatever step it resumes.

    Parameters
    ----------
    databases : collection of str
        All databases of the group.
    term : int
        The term issued to the promoter.
    promoter : str
        Identity of the promoter.
    preferred : str, default=""
        Database that becomes the primary if none holds more than it.
    avoided : collection of str, default=()
        Databases that become the primary only if they hold more than others.
    excluded : str, default=""
        Database that is left out, as if it could not be reached: a primary
        that is cut off from its replicas may hold more than they do.
    """

    __slots__ = (
        "_avoided",
        "_databases",
        "_excluded",
        "_fenced",
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
        self._fenced: dict[str, DatabaseStatus] = {}

    def databases_to_fence(self) -> list[str]:
        """Return the databases that have not answered the fence."""
        if self.step is not PromotionStep.FENCING:
            return []
        return [
            name
            for name in self._databases
            if name not in self._fenced and name != self._excluded
        ]

    def record_fence_answer(self, status: DatabaseStatus) -> None:
        """Take in that a database joined the term."""
        if self.step is not PromotionStep.FENCING:
            return
        if (status.term, status.promoter) != (self.term, self.promoter):
            self.step = PromotionStep.SUPERSEDED
            return
        if status.database == self._excluded:
            return
        self._fenced[status.database] = status
        is_preferred_awaited = self._preferred and self._preferred not in self._fenced
        if len(self._fenced) >= self._majority and not is_preferred_awaited:
            self._choose_candidate()

    def record_refusal(self) -> None:
        """Take in that a database refused a step: it joined another term."""
        if self.step is not PromotionStep.DONE:
            self.step = PromotionStep.SUPERSEDED

    def record_promote_answer(self, status: DatabaseStatus) -> None:
        """Take in the candidate's answer to the promotion, or its status."""
        if self.step is not PromotionStep.PROMOTING:
            return
        if (status.term, status.promoter) != (self.term, self.promoter):
            self.step = PromotionStep.SUPERSEDED
        elif status.role is Role.PRIMARY and not status.fenced:
            self.start = TermStart(self.term, status.term_start_position)
            self.step = PromotionStep.DONE

    def _choose_candidate(self) -> None:
        """Fix the candidate: a term has one candidate, also after a failure.

        Whatever was confirmed in a former term is held by one database of any
        majority, and the one with the newest last entry holds all of it.
        """
        best = max(self._fenced.values(), key=self._rank)
        self.candidate = best.database
        self.step = PromotionStep.PROMOTING

    def _rank(self, status: DatabaseStatus) -> tuple[int, int, bool, bool]:
        return (
            status.last_entry_term,
            status.position,
            status.database == self._preferred,
            status.database not in self._avoided,
        )

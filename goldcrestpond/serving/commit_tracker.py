"""Tracks the acknowledged commits of one service in this process."""

from datetime import timedelta

from ..group.log_position import LogPosition
from .commit_block import CommitBlock
from .leftovers import ORDER_LIFETIME

# Longer than the time for which a claim may be used and that of a promotion together.
# Whoever replaces the leader renews or ends the block within this time.
BLOCK_LIFETIME = timedelta(milliseconds=3500)
# A block that is neither renewed nor ended lasts for as long as an order of its claim
# may be carried out.
BLOCK_LIMIT = ORDER_LIFETIME


class CommitTracker:
    """Commits that this process sent to the databases of one service.

    Attributes
    ----------
    acknowledged : LogPosition or None
        Upper limit of the acknowledged commits that this process, or an earlier
        process of this instance, has sent; None until this process has verified a
        leader.
    known_acknowledged : LogPosition or None
        Highest position at which this process knows a commit to be acknowledged; None
        if it knows of none. The last leader that it has verified has this commit.
    give_up_count : int
        How often commits in flight were given up: their answers count as unknown.
    """

    __slots__ = (
        "_block",
        "_blocked_at",
        "_blocked_until",
        "_ended_token",
        "_in_flight",
        "_set_at",
        "acknowledged",
        "give_up_count",
        "known_acknowledged",
    )

    def __init__(self) -> None:
        self.acknowledged: LogPosition | None = None
        self.known_acknowledged: LogPosition | None = None
        self.give_up_count = 0
        self._ended_token = 0
        self._in_flight = 0
        self._blocked_at = timedelta.min
        self._blocked_until = timedelta.min
        self._set_at = timedelta.min
        self._block: CommitBlock | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no commit is in flight."""
        return not self._in_flight

    def record_leader_position(self, position: LogPosition) -> None:
        """Record the position of a leader that this process has verified.

        Only the first position counts: no commit that an earlier process of this
        instance saw acknowledged lies above it.
        """
        if self.acknowledged is None:
            self.acknowledged = position

    def record_commit_sent(self) -> None:
        """Record that a commit is about to be sent."""
        self._in_flight += 1

    def record_answer(self, position: LogPosition) -> None:
        """Record that a commit was acknowledged at a position."""
        self.acknowledged = max(position, self.acknowledged or position)
        self.known_acknowledged = max(position, self.known_acknowledged or position)

    def record_known_acknowledged(self, position: LogPosition | None) -> None:
        """Record at which position another instance has seen a commit acknowledged."""
        if position is not None:
            self.known_acknowledged = max(position, self.known_acknowledged or position)

    def record_leader_change(self, position: LogPosition) -> None:
        """Record that another database leads; what it lacks is lost already."""
        if self.known_acknowledged is not None:
            self.known_acknowledged = min(position, self.known_acknowledged)

    def record_commit_ended(self) -> None:
        """Record that a commit is no longer in flight, whatever its outcome."""
        self._in_flight -= 1

    def block_commits(self, block: CommitBlock, now: timedelta) -> None:
        """Block commits to every database of the service, until it is ended.

        A leader that crashed may return under another id before its successor's
        promotion takes effect, so that the block holds for whichever database leads,
        other than the candidate. A block with a lower token than the present one does
        not change its candidate, and one that was ended does not begin again.
        """
        if block.token and block.token <= self._ended_token:
            return
        if not self.is_blocked(now):
            self._blocked_at = now
            self._block = block
        elif block.token > self._block.token or (
            block.token == self._block.token and block.candidate_id
        ):
            self._block = block
        self._set_at = now
        # A former release sends no token, and may not end what it blocks.
        lifetime = BLOCK_LIMIT if block.token else BLOCK_LIFETIME
        self._blocked_until = max(self._blocked_until, now + lifetime)

    def give_up_in_flight(self) -> None:
        """Report the commits in flight as unknown, whatever their answers.

        While commits are blocked, none is acknowledged from now on.
        """
        self.give_up_count += 1

    def unblock_commits(self, token: int) -> bool:
        """Unblock commits before the block expires, unless its token is higher.

        Returns
        -------
        bool
            False if the block of a later claim stays.
        """
        if self._block is not None and token < self._block.token:
            return False
        self._ended_token = max(self._ended_token, token)
        self._blocked_until = timedelta.min
        return True

    def record_leader(self, database_id: str, asked_at: timedelta) -> None:
        """Unblock commits if the candidate was verified as the leader.

        Parameters
        ----------
        database_id : str
            Id of the database that was verified.
        asked_at : timedelta
            Time at which the verification was requested.
        """
        block = self._block
        if block is None or asked_at < self._blocked_at:
            return
        if database_id == block.candidate_id:
            self.unblock_commits(block.token)

    @property
    def token(self) -> int:
        """Token of the last block; 0 if there was none."""
        return 0 if self._block is None else self._block.token

    def is_unrenewed(self, now: timedelta, span: timedelta) -> bool:
        """Return whether commits are blocked, and the block is older than ``span``."""
        return self.is_blocked(now) and now - self._set_at >= span

    def is_blocked(self, now: timedelta) -> bool:
        """Return whether commits are blocked."""
        return now < self._blocked_until

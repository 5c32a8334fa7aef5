"""Makes databases that do not follow the primary of their group follow it."""

import logging
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..group.database_status import DatabaseStatus
from ..term.group_view import GroupView
from .group_monitor_control import GroupControl

# The instance that promoted the primary makes the databases follow it without delay;
# other instances do so only if they still do not follow after this time.
FOLLOW_DELAY = timedelta(seconds=1)

_logger = logging.getLogger(__name__)


class FollowerUpdater:
    """Finds the databases that do not follow the primary and makes them follow it.

    Parameters
    ----------
    view : GroupView
        Newest status of each database.
    control : GroupControl
        Sends the control statements.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_clock",
        "_control",
        "_follow_sent_at",
        "_not_following_since",
        "_view",
    )

    def __init__(self, view: GroupView, control: GroupControl, clock: Clock):
        self._view = view
        self._control = control
        self._clock = clock
        self._follow_sent_at: dict[str, timedelta] = {}
        self._not_following_since: dict[str, timedelta] = {}

    def databases_not_following(self) -> list[str]:
        """Return the databases that are not in the primary's term or are fenced."""
        primary = self._view.primary()
        if primary is None:
            return []
        term = primary.status.term
        return [
            sample.status.database
            for sample in self._view.samples()
            if sample is not primary
            and (sample.status.term < term or _is_fenced_in(sample.status, term))
        ]

    def due_databases(self, now: timedelta, *, is_promoted_here: bool) -> list[str]:
        """Return the databases that are to be made to follow the primary now.

        After an attempt, a database is due again only once it has sent a newer status.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        is_promoted_here : bool
            Whether this instance promoted the primary; if so, there is no delay.
        """
        databases = self.databases_not_following()
        self._not_following_since = {
            name: self._not_following_since.get(name, now) for name in databases
        }
        delay = timedelta(0) if is_promoted_here else FOLLOW_DELAY
        return [
            name
            for name, since in self._not_following_since.items()
            if now - since >= delay and self._has_status_since_follow(name)
        ]

    def _has_status_since_follow(self, database: str) -> bool:
        sample = self._view.sample(database)
        follow_sent_at = self._follow_sent_at.get(database)
        return follow_sent_at is None or sample.sent_at > follow_sent_at

    async def make_databases_follow(
        self, databases: list[str], term: int, primary: str
    ) -> None:
        """Make databases follow the primary of a term; each is tried once."""
        async with anyio.create_task_group() as tasks:
            for database in databases:
                tasks.start_soon(self._make_follow, database, term, primary)

    async def _make_follow(self, database: str, term: int, primary: str) -> None:
        self._follow_sent_at[database] = self._clock.now()
        try:
            await self._control.follow(database, term, primary)
        except CodedError as error:
            _logger.debug("group monitor: cannot make %s follow: %s", database, error)
        else:
            _logger.info("group monitor: %s now follows %s", database, primary)


def _is_fenced_in(status: DatabaseStatus, term: int) -> bool:
    return status.term == term and status.fenced

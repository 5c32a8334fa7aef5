"""Makes databases that are not in the primary's term follow it."""

import logging
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..group.database_status import DatabaseStatus
from ..term.group_view import GroupView
from .group_monitor_control import GroupControl

# The promoter makes them follow at once; others only if that did not happen.
FOLLOW_DELAY = timedelta(seconds=1)

_logger = logging.getLogger(__name__)


class Followers:
    """Databases that have to be told whom to follow.

    Parameters
    ----------
    view : GroupView
        Newest statuses.
    control : GroupControl
        Reaches the databases.
    clock : Clock
        Monotonic readings.
    """

    __slots__ = ("_clock", "_control", "_stray_since", "_told_at", "_view")

    def __init__(self, view: GroupView, control: GroupControl, clock: Clock):
        self._view = view
        self._control = control
        self._clock = clock
        self._told_at: dict[str, timedelta] = {}
        self._stray_since: dict[str, timedelta] = {}

    def strays(self) -> list[str]:
        """Return the databases that do not follow the primary."""
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

    def due(self, now: timedelta, *, is_own_term: bool) -> list[str]:
        """Return the strays to be told now.

        Each is told once for each status that it gave since.

        Parameters
        ----------
        now : timedelta
            Monotonic reading.
        is_own_term : bool
            Whether this instance promoted the primary: then it does not wait.
        """
        strays = self.strays()
        self._stray_since = {name: self._stray_since.get(name, now) for name in strays}
        delay = timedelta(0) if is_own_term else FOLLOW_DELAY
        return [
            name
            for name, since in self._stray_since.items()
            if now - since >= delay and self._has_answered_since_told(name)
        ]

    def _has_answered_since_told(self, database: str) -> bool:
        sample = self._view.sample(database)
        told_at = self._told_at.get(database)
        return told_at is None or sample.sent_at > told_at

    async def settle(self, databases: list[str], term: int, primary: str) -> None:
        """Tell databases to follow the primary of a term; each is tried once."""
        async with anyio.create_task_group() as tasks:
            for database in databases:
                tasks.start_soon(self._settle_one, database, term, primary)

    async def _settle_one(self, database: str, term: int, primary: str) -> None:
        self._told_at[database] = self._clock.now()
        try:
            await self._control.follow(database, term, primary)
        except CodedError as error:
            _logger.debug("group monitor: %s does not follow: %s", database, error)
        else:
            _logger.info("group monitor: %s follows %s", database, primary)


def _is_fenced_in(status: DatabaseStatus, term: int) -> bool:
    return status.term == term and status.fenced

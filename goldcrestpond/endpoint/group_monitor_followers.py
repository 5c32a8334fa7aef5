"""Makes databases that are not in the primary's term follow it."""

import logging
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
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
    """

    __slots__ = ("_control", "_stray_since", "_view")

    def __init__(self, view: GroupView, control: GroupControl):
        self._view = view
        self._control = control
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

    def due(self, now: timedelta) -> list[str]:
        """Return the strays that have been so for ``FOLLOW_DELAY``."""
        strays = self.strays()
        self._stray_since = {name: self._stray_since.get(name, now) for name in strays}
        return [n for n, s in self._stray_since.items() if now - s >= FOLLOW_DELAY]

    async def settle(self, databases: list[str]) -> None:
        """Tell databases to follow the primary; each is tried once."""
        primary = self._view.primary()
        if primary is None:
            return
        async with anyio.create_task_group() as tasks:
            for database in databases:
                tasks.start_soon(
                    self._settle_one,
                    database,
                    primary.status.term,
                    primary.status.database,
                )

    async def _settle_one(self, database: str, term: int, primary: str) -> None:
        self._stray_since.pop(database, None)
        try:
            await self._control.follow(database, term, primary)
        except CodedError as error:
            _logger.debug("group monitor: %s does not follow: %s", database, error)
        else:
            _logger.info("group monitor: %s follows %s", database, primary)


def _is_fenced_in(status, term: int) -> bool:
    return status.term == term and status.fenced

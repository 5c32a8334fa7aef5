"""Reads the progress that instances report on drain orders."""

import logging

import anyio
import msgspec

from ..drain.drain_keys import DRAIN_PREFIX, parse_drain_progress_key
from ..drain.drain_progress import DrainProgress
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..store.platform import Platform
from ..store.read_all_changes import read_all_changes

# Short enough for an operator to follow a drain.
_INTERVAL_S = 0.5
_log = logging.getLogger("goldcrestpond.api")


class DrainProgressReader:
    """Reads the progress of all drain orders periodically.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    """

    __slots__ = ("_platform", "_progress", "_revision")

    def __init__(self, platform: Platform):
        self._platform = platform
        self._progress: dict[str, dict[str, tuple[int, DrainProgress]]] = {}
        self._revision = 0

    def read(self, order: str, since_revision: int) -> list[DrainProgress]:
        """Return the progress of each instance that reports on an order.

        Parameters
        ----------
        order : str
            Name of the order.
        since_revision : int
            Revision at which the order was created. An older report was left by
            a failed instance and belongs to a previous order of the same name.
        """
        reports = self._progress.get(order, {}).values()
        return [progress for revision, progress in reports if revision > since_revision]

    async def run(self) -> None:
        """Read the reports periodically until cancelled."""
        while True:
            try:
                await self._read_changes()
            except CodedError as error:
                _log.info("api: could not read the progress of drains: %s", error)
            await anyio.sleep(_INTERVAL_S)

    async def _read_changes(self) -> None:
        changes = await read_all_changes(self._platform, DRAIN_PREFIX, self._revision)
        for row in changes.rows:
            order, instance = parse_drain_progress_key(row.key)
            reports = self._progress.setdefault(order, {})
            if row.value is None:
                reports.pop(instance, None)
            else:
                try:
                    progress = msgspec.json.decode(row.value, type=DrainProgress)
                except DECODE_ERRORS as error:
                    _log.warning("api: unreadable progress %s: %s", row.key, error)
                    continue
                reports[instance] = (row.revision, progress)
        self._revision = changes.revision

"""Reads what instances report of drain orders."""

import logging

import anyio
import msgspec

from ..drain.drain_keys import DRAIN_PREFIX, read_drain_progress_key
from ..drain.drain_progress import DrainProgress
from ..errors.coded_error import CodedError
from ..platform.platform import Platform
from ..platform.read_all_changes import read_all_changes

_INTERVAL_S = 0.5  # an operator who watches a drain sees it move
_log = logging.getLogger("goldcrestpond.api")


class DrainProgressReader:
    """Progress of all drain orders.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    """

    __slots__ = ("_platform", "_progress", "_revision")

    def __init__(self, platform: Platform):
        self._platform = platform
        self._progress: dict[str, dict[str, DrainProgress]] = {}
        self._revision = 0

    def read(self, order: str) -> list[DrainProgress]:
        """Return the progress of each instance that reports on an order."""
        return list(self._progress.get(order, {}).values())

    async def run(self) -> None:
        """Read on until cancelled."""
        while True:
            try:
                await self._read_changes()
            except CodedError as error:
                _log.info("api: progress of drains is not known: %s", error)
            await anyio.sleep(_INTERVAL_S)

    async def _read_changes(self) -> None:
        changes = await read_all_changes(self._platform, DRAIN_PREFIX, self._revision)
        for row in changes.rows:
            order, instance = read_drain_progress_key(row.key)
            reports = self._progress.setdefault(order, {})
            if row.value is None:
                reports.pop(instance, None)
            else:
                reports[instance] = msgspec.json.decode(row.value, type=DrainProgress)
        self._revision = changes.revision

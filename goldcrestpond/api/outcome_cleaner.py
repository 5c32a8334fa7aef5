"""Bounds the number of stored outcomes of changes."""

from ..configuration.stored_outcome import OUTCOME_PREFIX
from ..errors.coded_error import CodedError
from ..store.condition import Condition
from ..store.platform import Platform
from ..store.read_all_changes import read_all_changes
from ..store.write import Write

# A few hours of changes at 28,000 a day.
DEFAULT_KEPT_OUTCOME_COUNT = 4096
_DELETIONS_PER_BATCH = 128


class OutcomeCleaner:
    """Deletes the oldest outcomes if there are more than a limit.

    Age is measured by revision, since the clocks of instances differ. Several
    instances may clean at the same time, since each deletion is conditional.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    kept_count : int
        Number of outcomes that are kept.
    """

    __slots__ = ("_cursor", "_kept_count", "_platform", "_revisions")

    def __init__(
        self, platform: Platform, kept_count: int = DEFAULT_KEPT_OUTCOME_COUNT
    ):
        self._platform = platform
        self._kept_count = kept_count
        self._cursor = 0
        self._revisions: dict[str, int] = {}

    async def clean(self) -> None:
        """Delete a batch of the oldest outcomes beyond the limit; ignore errors."""
        try:
            await self._refresh()
            await self._delete_oldest()
        except CodedError:
            # Another instance cleaned at the same time, or the store is down; the
            # next call reads the table again.
            return

    async def _refresh(self) -> None:
        changes = await read_all_changes(self._platform, OUTCOME_PREFIX, self._cursor)
        for row in changes.rows:
            self._revisions.pop(row.key, None)
            if row.value is not None:
                self._revisions[row.key] = row.revision
        self._cursor = changes.revision

    async def _delete_oldest(self) -> None:
        excess = max(0, len(self._revisions) - self._kept_count)
        oldest = list(self._revisions.items())[: min(excess, _DELETIONS_PER_BATCH)]
        if oldest:
            conditions = [Condition(key, revision) for key, revision in oldest]
            writes = [Write(key, None) for key, _ in oldest]
            await self._platform.batch(conditions, writes)

"""Chooses the groups whose databases an instance polls."""

from collections.abc import Collection
from datetime import timedelta

# Up to this many groups are all watched: the cost is negligible, and the first
# caller of a group need not wait until the statuses of its databases are known.
WATCH_ALL_MAX_GROUPS = 50
# A group without a request for longer than this is no longer watched.
GROUP_IDLE_TIMEOUT = timedelta(minutes=5)


class GroupUse:
    """Records when each group was last used by a request.

    Watching a group means polling the status of its databases. An instance with few
    groups watches all of them. With many groups it watches only those in use, so that
    the cost depends on the instance's work and not on the number of groups.
    """

    __slots__ = ("_used_at",)

    def __init__(self):
        self._used_at: dict[str, timedelta] = {}

    def record_use(self, group: str, now: timedelta) -> None:
        """Record that a request uses a group."""
        self._used_at[group] = now

    def groups_to_watch(self, groups: Collection[str], now: timedelta) -> set[str]:
        """Return the configured groups that are to be watched.

        Parameters
        ----------
        groups : collection of str
            Names of the groups in the configuration.
        now : timedelta
            Monotonic time.
        """
        if len(groups) <= WATCH_ALL_MAX_GROUPS:
            return set(groups)
        oldest_use = now - GROUP_IDLE_TIMEOUT
        self._used_at = {
            group: used_at
            for group, used_at in self._used_at.items()
            if used_at >= oldest_use
        }
        return self._used_at.keys() & set(groups)

"""Which groups an instance watches."""

from collections.abc import Collection
from datetime import timedelta

# So few groups cost nothing that counts, and their first caller need not wait
# until their statuses are known.
EAGER_GROUP_LIMIT = 50
# A group that no request used for longer is no longer watched.
USE_LIFETIME = timedelta(minutes=5)


class GroupUse:
    """Remembers when requests last used each group.

    With few groups all are wanted; with many, those in use, so that the cost
    of watching follows the work of the instance and not the size of the fleet.
    """

    __slots__ = ("_used_at",)

    def __init__(self):
        self._used_at: dict[str, timedelta] = {}

    def record_use(self, group: str, now: timedelta) -> None:
        """Record that a request uses a group."""
        self._used_at[group] = now

    def groups_to_watch(self, groups: Collection[str], now: timedelta) -> set[str]:
        """Return which of the configured groups are to be watched.

        Parameters
        ----------
        groups : collection of str
            Groups that the configuration names.
        now : timedelta
            Monotonic reading.
        """
        if len(groups) <= EAGER_GROUP_LIMIT:
            return set(groups)
        oldest = now - USE_LIFETIME
        self._used_at = {
            group: used_at
            for group, used_at in self._used_at.items()
            if used_at >= oldest
        }
        return self._used_at.keys() & set(groups)

"""Queue of updates that are still to be passed on."""

from .member_update import MemberUpdate


class UpdateQueue:
    """Returns the least-sent updates first and drops those sent often enough.

    Contains at most one update per instance.
    """

    __slots__ = ("_by_count", "_counts")

    def __init__(self):
        self._by_count: list[dict[int, MemberUpdate]] = []
        self._counts: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def put(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces a previous one of the same instance."""
        count = self._counts.pop(update.instance_id, None)
        if count is not None:
            del self._by_count[count][update.instance_id]
        self._insert(update, 0)

    def count_sent_below(self, sent_below: int) -> int:
        """Return how many updates were sent fewer than ``sent_below`` times."""
        return sum(len(updates) for updates in self._by_count[:sent_below])

    def take(self, limit: int, copies: int, send_limit: int) -> list[MemberUpdate]:
        """Return up to ``limit`` updates and count them as sent ``copies`` times.

        Parameters
        ----------
        limit : int
            Maximum number of updates to return.
        copies : int
            Number of members that the caller sends them to.
        send_limit : int
            Updates that were sent this many times are dropped.
        """
        taken: list[tuple[MemberUpdate, int]] = []
        for count, updates in enumerate(self._by_count):
            for update in updates.values():
                if len(taken) == limit:
                    break
                taken.append((update, count))
        for update, count in taken:
            del self._by_count[count][update.instance_id]
            del self._counts[update.instance_id]
            if count + copies < send_limit:
                self._insert(update, count + copies)
        return [update for update, _ in taken]

    def _insert(self, update: MemberUpdate, count: int) -> None:
        while len(self._by_count) <= count:
            self._by_count.append({})
        self._by_count[count][update.instance_id] = update
        self._counts[update.instance_id] = count

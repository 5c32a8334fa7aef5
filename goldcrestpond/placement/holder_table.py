"""Cached holders of the groups that an instance uses."""

from collections.abc import Sequence

from .candidate import Candidate
from .rendezvous import choose_holders


class HolderTable:
    """Caches the holders of each group that was looked up.

    Holders are computed only for groups that the instance uses. When an instance
    joins, the cached holders are updated; when one leaves, only the groups that it
    held are computed again.

    Parameters
    ----------
    holder_count : int
        Number of holders of each group.
    """

    __slots__ = ("_candidates", "_holder_count", "_holders", "_availability_zones")

    def __init__(self, holder_count: int):
        self._holder_count = holder_count
        self._candidates: dict[str, Candidate] = {}
        self._holders: dict[str, list[Candidate]] = {}
        self._availability_zones: dict[str, Sequence[str]] = {}

    def holders(
        self, group: str, availability_zones: Sequence[str] = ()
    ) -> list[Candidate]:
        """Return the holders of a group with databases in ``availability_zones``."""
        holders = self._holders.get(group)
        if holders is None or self._availability_zones[group] != availability_zones:
            holders = choose_holders(
                group, self._candidates.values(), self._holder_count, availability_zones
            )
            self._holders[group] = holders
            self._availability_zones[group] = availability_zones
        return holders

    def add(self, candidate: Candidate) -> None:
        """Add a live instance, or replace the one of the same name."""
        self._candidates[candidate.name] = candidate
        for group, holders in self._holders.items():
            others = [holder for holder in holders if holder.name != candidate.name]
            self._holders[group] = choose_holders(
                group,
                [*others, candidate],
                self._holder_count,
                self._availability_zones[group],
            )

    def remove(self, name: str) -> None:
        """Remove an instance that is no longer live."""
        if self._candidates.pop(name, None) is None:
            return
        held_groups = [
            group
            for group, holders in self._holders.items()
            if any(holder.name == name for holder in holders)
        ]
        for group in held_groups:
            del self._holders[group]

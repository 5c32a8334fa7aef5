"""Holders of the groups that an instance uses, kept up with the members."""

from collections.abc import Sequence

from .candidate import Candidate
from .rendezvous import choose_holders


class HolderTable:
    """Remembers the holders of each group that was asked for.

    Only the groups that an instance uses are worked out. A change of the
    members touches those that the changed instance holds or would hold.

    Parameters
    ----------
    holder_count : int
        Places of each group.
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
        found = self._holders.get(group)
        if found is None or self._availability_zones[group] != availability_zones:
            found = choose_holders(
                group, self._candidates.values(), self._holder_count, availability_zones
            )
            self._holders[group] = found
            self._availability_zones[group] = availability_zones
        return found

    def add(self, candidate: Candidate) -> None:
        """Take a live instance in."""
        self._candidates[candidate.name] = candidate
        for group, holders in self._holders.items():
            contenders = [holder for holder in holders if holder.name != candidate.name]
            self._holders[group] = choose_holders(
                group,
                [*contenders, candidate],
                self._holder_count,
                self._availability_zones[group],
            )

    def remove(self, name: str) -> None:
        """Forget an instance that is no longer live."""
        if self._candidates.pop(name, None) is None:
            return
        held = [
            group
            for group, holders in self._holders.items()
            if any(holder.name == name for holder in holders)
        ]
        for group in held:
            del self._holders[group]

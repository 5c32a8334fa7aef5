"""Live instances in the order of their hashes."""

import random
from bisect import bisect_left, bisect_right, insort

import xxhash

_LEVELS = 32


def ring_position(instance_id: int) -> int:
    """Return the 64-bit position of an instance on the ring."""
    return xxhash.xxh3_64_intdigest(instance_id.to_bytes(8, "big"))


def ring_level(instance_id: int) -> int:
    """Return the level of an instance, from its hash.

    An instance is on all levels from 0 to its own. On average, half of the
    instances on a level are also on the next one, as in a skip list.
    """
    bits = xxhash.xxh3_64_intdigest(instance_id.to_bytes(8, "big"), seed=1)
    level = 0
    while level < _LEVELS - 1 and bits & 1 == 0:
        bits >>= 1
        level += 1
    return level


class Ring:
    """Live instances ordered by the hashes of their ids, and a tree over them.

    Members with equal sets of instances build equal rings. An instance's parent
    in the tree is the nearest one before it on the ring whose level is higher;
    the root is the first instance of the highest level. Adding or removing an
    instance changes the parents of only a few instances next to it.
    """

    __slots__ = ("_ids", "_levels")

    def __init__(self):
        self._ids: dict[int, int] = {}
        self._levels: list[list[int]] = [[] for _ in range(_LEVELS)]

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, instance_id: int) -> bool:
        return ring_position(instance_id) in self._ids

    def add(self, instance_id: int) -> None:
        """Add an instance."""
        position = ring_position(instance_id)
        if position in self._ids:
            return
        self._ids[position] = instance_id
        for level in range(ring_level(instance_id) + 1):
            insort(self._levels[level], position)

    def discard(self, instance_id: int) -> None:
        """Remove an instance if it is present."""
        position = ring_position(instance_id)
        if self._ids.pop(position, None) is None:
            return
        for level in range(ring_level(instance_id) + 1):
            positions = self._levels[level]
            del positions[bisect_left(positions, position)]

    def successor(self, instance_id: int) -> int | None:
        """Return the next other instance on the ring, None if there is none."""
        positions = self._levels[0]
        if not positions:
            return None
        index = bisect_right(positions, ring_position(instance_id))
        found = self._ids[positions[index % len(positions)]]
        return None if found == instance_id else found

    def root(self) -> int | None:
        """Return the root of the tree, None for an empty ring."""
        for positions in reversed(self._levels):
            if positions:
                return self._ids[positions[0]]
        return None

    def parent(self, instance_id: int) -> int | None:
        """Return the parent of a present instance, None for the root."""
        root = self.root()
        if root == instance_id:
            return None
        above = self._levels[ring_level(instance_id) + 1]
        if not above:
            return root
        index = bisect_left(above, ring_position(instance_id)) - 1
        return self._ids[above[index]]

    def sample(self, count: int, rng: random.Random, exclude: set[int]) -> list[int]:
        """Return up to ``count`` different random instances not in ``exclude``."""
        positions = self._levels[0]
        sample_size = min(count + len(exclude), len(positions))
        drawn = [self._ids[position] for position in rng.sample(positions, sample_size)]
        return [found for found in drawn if found not in exclude][:count]

    def first(self, count: int) -> list[int]:
        """Return the first ``count`` instances on the ring."""
        return [self._ids[position] for position in self._levels[0][:count]]

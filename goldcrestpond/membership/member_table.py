"""Table of all members, as known to one of them."""

from datetime import timedelta

import xxhash

from .member_state import MemberState
from .member_update import MemberUpdate, supersedes
from .ring import Ring

BUCKET_COUNT = 256
_DIGEST_MASK = (1 << 64) - 1
_BUCKET_MASK = (1 << 32) - 1


class MemberTable:
    """Latest update of each instance, with digests for comparing tables.

    Digests cover the ids and incarnations of live instances. Each change
    updates them, so that reading one needs no scan. Dead and left instances
    are kept as tombstones until `drop_tombstones_before` removes them.
    """

    __slots__ = (
        "_bucket_digests",
        "_digest",
        "_first_seen_at",
        "_id_sum",
        "_ids_by_address",
        "_tombstone_times",
        "_updates",
        "ring",
    )

    def __init__(self):
        self._updates = [dict[int, MemberUpdate]() for _ in range(BUCKET_COUNT)]
        self._first_seen_at: dict[int, timedelta] = {}
        self._tombstone_times: dict[int, timedelta] = {}
        self._ids_by_address: dict[str, set[int]] = {}
        self._bucket_digests = [0] * BUCKET_COUNT
        self._digest = 0
        self._id_sum = 0
        self.ring = Ring()

    @property
    def digest(self) -> int:
        """Digest of all live instances."""
        return self._digest

    @property
    def id_sum(self) -> int:
        """Sum modulo 2^64 of the ids of all live instances."""
        return self._id_sum

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of each bucket of live instances."""
        return [value & _BUCKET_MASK for value in self._bucket_digests]

    def get(self, instance_id: int) -> MemberUpdate | None:
        """Return the latest update of an instance, None if it is unknown."""
        return self._updates[instance_id % BUCKET_COUNT].get(instance_id)

    def live(self) -> list[MemberUpdate]:
        """Return the live instances, in no particular order."""
        return [
            update
            for bucket in self._updates
            for update in bucket.values()
            if update.is_live
        ]

    def first_seen_at(self, instance_id: int) -> timedelta:
        """Return when the first update of a known instance was merged."""
        return self._first_seen_at[instance_id]

    def live_at_address(self, address: str) -> list[int]:
        """Return the ids of the live instances with this address.

        There may be several for a time, if a process was replaced.
        """
        return list(self._ids_by_address.get(address, ()))

    def tombstones_with_state(self, state: MemberState) -> list[int]:
        """Return the ids of the tombstones with ``state``, ``DEAD`` or ``LEFT``."""
        return [key for key in self._tombstone_times if self.get(key).state == state]

    def bucket(self, number: int) -> list[MemberUpdate]:
        """Return all updates of one bucket, tombstones included."""
        return list(self._updates[number].values())

    def merge(self, update: MemberUpdate, now: timedelta) -> bool:
        """Store an update if it supersedes the known one.

        Returns
        -------
        bool
            True if the table changed.
        """
        previous = self.get(update.instance_id)
        if previous is not None and not supersedes(update, previous):
            return False
        if previous is not None and previous.is_live:
            self._remove_live(previous)
        self._updates[update.instance_id % BUCKET_COUNT][update.instance_id] = update
        self._first_seen_at.setdefault(update.instance_id, now)
        if update.is_live:
            self._add_live(update)
        else:
            self._tombstone_times.setdefault(update.instance_id, now)
        return True

    def drop_tombstones_before(self, deadline: timedelta) -> None:
        """Remove the tombstones that were created before ``deadline``."""
        for instance_id, created_at in list(self._tombstone_times.items()):
            if created_at >= deadline:
                return
            del self._tombstone_times[instance_id]
            del self._first_seen_at[instance_id]
            del self._updates[instance_id % BUCKET_COUNT][instance_id]

    def _add_live(self, update: MemberUpdate) -> None:
        self._tombstone_times.pop(update.instance_id, None)
        self._ids_by_address.setdefault(update.address, set()).add(update.instance_id)
        self.ring.add(update.instance_id)
        self._update_digests(update, 1)

    def _remove_live(self, update: MemberUpdate) -> None:
        instance_ids = self._ids_by_address[update.address]
        instance_ids.discard(update.instance_id)
        if not instance_ids:
            del self._ids_by_address[update.address]
        self.ring.discard(update.instance_id)
        self._update_digests(update, -1)

    def _update_digests(self, update: MemberUpdate, sign: int) -> None:
        self._id_sum = (self._id_sum + sign * update.instance_id) & _DIGEST_MASK
        value = sign * _hash(update)
        bucket = update.instance_id % BUCKET_COUNT
        self._bucket_digests[bucket] = (
            self._bucket_digests[bucket] + value
        ) & _DIGEST_MASK
        self._digest = (self._digest + value) & _DIGEST_MASK


def _hash(update: MemberUpdate) -> int:
    key = update.instance_id.to_bytes(8, "big") + update.incarnation.to_bytes(8, "big")
    return xxhash.xxh3_64_intdigest(key)

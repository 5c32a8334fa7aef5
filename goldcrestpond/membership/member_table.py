"""All that one member knows of the others."""

from datetime import timedelta

import xxhash

from .member_state import MemberState
from .member_update import MemberUpdate, supersedes
from .ring import Ring

BUCKET_COUNT = 256
_DIGEST_MASK = (1 << 64) - 1
_BUCKET_MASK = (1 << 32) - 1


class MemberTable:
    """Latest update of each instance, with digests to compare tables by.

    Digests cover live instances and their incarnations. They are kept up to
    date with each change, so that reading one costs nothing.
    """

    __slots__ = (
        "_by_address",
        "_digest",
        "_digests",
        "_id_sum",
        "_learned_at",
        "_tombstones",
        "_updates",
        "ring",
    )

    def __init__(self):
        self._updates = [dict[int, MemberUpdate]() for _ in range(BUCKET_COUNT)]
        self._learned_at: dict[int, timedelta] = {}
        self._tombstones: dict[int, timedelta] = {}
        self._by_address: dict[str, set[int]] = {}
        self._digests = [0] * BUCKET_COUNT
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
        return [value & _BUCKET_MASK for value in self._digests]

    def get(self, instance_id: int) -> MemberUpdate | None:
        """Return the latest update of an instance."""
        return self._updates[instance_id % BUCKET_COUNT].get(instance_id)

    def live(self) -> list[MemberUpdate]:
        """Return the live instances, in no particular order."""
        return [
            update
            for bucket in self._updates
            for update in bucket.values()
            if update.is_live
        ]

    def learned_at(self, instance_id: int) -> timedelta:
        """Return when a known instance was first heard of."""
        return self._learned_at[instance_id]

    def live_at(self, address: str) -> list[int]:
        """Return the live instances that claim an address."""
        return list(self._by_address.get(address, ()))

    def tombstones_with_state(self, state: MemberState) -> list[int]:
        """Return the remembered instances that are ``DEAD`` or ``LEFT``."""
        return [key for key in self._tombstones if self.get(key).state == state]

    def bucket(self, number: int) -> list[MemberUpdate]:
        """Return all updates of one bucket, tombstones included."""
        return list(self._updates[number].values())

    def merge(self, update: MemberUpdate, now: timedelta) -> bool:
        """Take an update in if it is news.

        Returns
        -------
        bool
            True if the table changed.
        """
        known = self.get(update.instance_id)
        if known is not None and not supersedes(update, known):
            return False
        if known is not None and known.is_live:
            self._remove_live(known)
        self._updates[update.instance_id % BUCKET_COUNT][update.instance_id] = update
        self._learned_at.setdefault(update.instance_id, now)
        if update.is_live:
            self._add_live(update)
        else:
            self._tombstones.setdefault(update.instance_id, now)
        return True

    def forget_before(self, deadline: timedelta) -> None:
        """Drop tombstones that are older than ``deadline``."""
        for instance_id, since in list(self._tombstones.items()):
            if since >= deadline:
                return
            del self._tombstones[instance_id]
            del self._learned_at[instance_id]
            del self._updates[instance_id % BUCKET_COUNT][instance_id]

    def _add_live(self, update: MemberUpdate) -> None:
        self._tombstones.pop(update.instance_id, None)
        self._by_address.setdefault(update.address, set()).add(update.instance_id)
        self.ring.add(update.instance_id)
        self._shift_digests(update, 1)

    def _remove_live(self, update: MemberUpdate) -> None:
        holders = self._by_address[update.address]
        holders.discard(update.instance_id)
        if not holders:
            del self._by_address[update.address]
        self.ring.discard(update.instance_id)
        self._shift_digests(update, -1)

    def _shift_digests(self, update: MemberUpdate, sign: int) -> None:
        self._id_sum = (self._id_sum + sign * update.instance_id) & _DIGEST_MASK
        value = sign * _hash(update)
        bucket = update.instance_id % BUCKET_COUNT
        self._digests[bucket] = (self._digests[bucket] + value) & _DIGEST_MASK
        self._digest = (self._digest + value) & _DIGEST_MASK


def _hash(update: MemberUpdate) -> int:
    key = update.instance_id.to_bytes(8, "big") + update.incarnation.to_bytes(8, "big")
    return xxhash.xxh3_64_intdigest(key)

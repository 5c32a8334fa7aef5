"""Which instances find that a service has no leader."""

import math
from collections.abc import Sequence
from datetime import timedelta

from .heard_rows import HeardRows
from .row_store import StoredRow

TABLE = "suspicion"
# A suspicion that was not renewed for this time no longer counts.
LIFETIME = timedelta(milliseconds=2500)
RENEWAL = timedelta(milliseconds=1000)
# Part of the members that must agree: a single one that is cut off deposes nobody,
# and a cut that hides the leader from many need not hide it from most.
QUORUM_PART = 1 / 3


def suspicion_key(service: str, instance: str) -> str:
    """Return the key of one instance's suspicion on a service."""
    return f"{service}/{instance}"


def quorum(member_count: int) -> int:
    """Return how many members must suspect a leader."""
    return math.floor(member_count * QUORUM_PART) + 1


class Suspicions:
    """Suspicions by service."""

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard = HeardRows()

    def replace(self, rows: Sequence[StoredRow], now: timedelta) -> None:
        """Take in all rows."""
        self._heard.replace(rows, now)

    def update(self, rows: Sequence[StoredRow], now: timedelta) -> None:
        """Take in changed rows."""
        self._heard.update(rows, now)

    def by(self, service: str, now: timedelta) -> set[str]:
        """Return the instances that suspect the leader of a service."""
        prefix = f"{service}/"
        return {
            row.key.removeprefix(prefix)
            for row in self._heard.fresh(now, LIFETIME)
            if row.key.startswith(prefix)
        }

"""Which instances find that a service has no leader."""

import math
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from .expiring_rows import ExpiringRows, make_era_reader
from .row_store import StoredRow

TABLE = "suspicion"
# A suspicion that was not renewed for this time no longer counts.
SUSPICION_LIFETIME = timedelta(milliseconds=2500)
RENEWAL_INTERVAL = timedelta(milliseconds=1000)
# Part of the members that must agree: a single one that is cut off deposes nobody,
# and a cut that hides the leader from many need not hide it from most.
QUORUM_FRACTION = 1 / 3


class SuspicionBody(msgspec.Struct, frozen=True):
    """Value of a suspicion's row.

    Attributes
    ----------
    era : int
        Era of the store in which it was written; in a later one it is a copy.
    """

    era: int = 0


def suspicion_key(service: str, instance: str) -> str:
    """Return the key of one instance's suspicion on a service."""
    return f"{service}/{instance}"


def quorum(member_count: int) -> int:
    """Return how many members must suspect a leader."""
    return math.floor(member_count * QUORUM_FRACTION) + 1


class Suspicions:
    """Suspicions by service; those of a copy depose nobody."""

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard = ExpiringRows(
            SUSPICION_LIFETIME, timedelta(0), make_era_reader(SuspicionBody)
        )

    def replace(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Take in all rows of a store in an era."""
        self._heard.replace(rows, now, era)

    def update(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Take in changed rows."""
        self._heard.update(rows, now, era)

    def suspecting_instances(self, service: str, now: timedelta) -> set[str]:
        """Return the instances that suspect the leader of a service."""
        prefix = f"{service}/"
        return {
            row.key.removeprefix(prefix)
            for row in self._heard.unexpired(now)
            if row.key.startswith(prefix)
        }

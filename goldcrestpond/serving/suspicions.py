"""Records of which instances suspect that the leader of a service has failed."""

import math
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from .expiring_rows import ExpiringRows, make_era_reader
from .row_fields import Count
from .row_store import StoredRow

TABLE = "suspicion"
# A suspicion expires if it isn't renewed for this time.
SUSPICION_LIFETIME = timedelta(milliseconds=2500)
RENEWAL_INTERVAL = timedelta(milliseconds=1000)
# More than this fraction of a service's holders must suspect the leader. A single
# instance that is cut off cannot start a failover; a network fault that cuts many
# instances off from the leader need not affect a majority.
QUORUM_FRACTION = 1 / 3


class SuspicionBody(msgspec.Struct, frozen=True):
    """JSON value of a suspicion's row.

    Attributes
    ----------
    era : int
        Era of the store in which it was written. In a later era the row comes from
        the copy that the store was restored from.
    """

    era: Count = 0


def suspicion_key(service: str, instance: str) -> str:
    """Return the row key of an instance's suspicion of a service's leader."""
    return f"{service}/{instance}"


def quorum(holder_count: int) -> int:
    """Return how many instances must suspect the leader before it is replaced."""
    return math.floor(holder_count * QUORUM_FRACTION) + 1


class Suspicions:
    """Suspicions by service; those that come from a copy of the store don't count."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows = ExpiringRows(
            SUSPICION_LIFETIME, timedelta(0), make_era_reader(SuspicionBody)
        )

    def replace(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Replace the rows by all rows that the store has in ``era``."""
        self._rows.replace(rows, now, era)

    def update(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Apply changed rows."""
        self._rows.update(rows, now, era)

    def suspecting_instances(self, service: str, now: timedelta) -> set[str]:
        """Return the instances that suspect the leader of a service."""
        prefix = f"{service}/"
        return {
            row.key.removeprefix(prefix)
            for row in self._rows.unexpired(now)
            if row.key.startswith(prefix)
        }

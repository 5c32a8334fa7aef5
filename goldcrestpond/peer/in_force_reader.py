"""Reads what is in force for a process that is no member."""

import logging
import random
from datetime import timedelta

import anyio
from anyio.abc import TaskStatus

from ..clock.clock import Clock
from ..configuration.revision_count import RevisionCount
from ..distribution.force_claim import ForceClaim
from ..distribution.force_query import ForceQuery
from ..errors.coded_error import CodedError
from ..settings.address import parse_address
from .list_seeds import ListSeeds
from .seal import Seal
from .update_stream import ask_over_stream

_logger = logging.getLogger(__name__)

_PERIOD_S = 0.5
_LIFETIME = timedelta(seconds=5)


class InForceReader:
    """Asks one random member at a time.

    Parameters
    ----------
    list_seeds : callable
        Returns ``IP:PORT`` of peers.
    key : str
        Key of the fleet.
    clock : Clock
        Source of monotonic readings.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = ("_clock", "_counts", "_list_seeds", "_read_at", "_rng", "_seal")

    def __init__(
        self, list_seeds: ListSeeds, key: str, clock: Clock, rng: random.Random
    ):
        self._list_seeds = list_seeds
        self._seal = Seal(key.encode())
        self._clock = clock
        self._rng = rng
        self._counts: list[RevisionCount] = []
        self._read_at = clock.now()

    def in_force(self) -> list[RevisionCount]:
        """Return the revisions of all live instances; empty if not known now."""
        if self._clock.now() - self._read_at > _LIFETIME:
            return []
        return self._counts

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Ask until cancelled."""
        task_status.started()
        while True:
            try:
                await self._read()
            except CodedError as error:
                _logger.debug("peer: what is in force was not told: %s", error)
            await anyio.sleep(_PERIOD_S)

    async def _read(self) -> None:
        seeds = await self._list_seeds()
        if not seeds:
            return
        seed = parse_address(self._rng.choice(seeds))
        claim = await ask_over_stream(seed.host, seed.port, self._seal, ForceQuery())
        if isinstance(claim, ForceClaim) and claim.counts:
            self._counts = claim.counts
            self._read_at = self._clock.now()

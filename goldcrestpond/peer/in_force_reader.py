"""Reads the revisions in force for a process that is not a member of the fleet."""

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
from .message_authenticator import MessageAuthenticator
from .update_stream import request_over_stream

_logger = logging.getLogger(__name__)

_QUERY_INTERVAL_S = 0.5
# Counts that were read longer ago are reported as unknown.
_COUNTS_LIFETIME = timedelta(seconds=5)


class InForceReader:
    """Periodically asks a random member for the revisions in force.

    Parameters
    ----------
    list_seeds : callable
        Returns ``IP:PORT`` of peers.
    key : str
        Key that all instances of the fleet share.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = (
        "_authenticator",
        "_clock",
        "_counts",
        "_list_seeds",
        "_read_at",
        "_rng",
    )

    def __init__(
        self, list_seeds: ListSeeds, key: str, clock: Clock, rng: random.Random
    ):
        self._list_seeds = list_seeds
        self._authenticator = MessageAuthenticator(key.encode())
        self._clock = clock
        self._rng = rng
        self._counts: list[RevisionCount] = []
        self._read_at = clock.now()

    def in_force(self) -> list[RevisionCount]:
        """Return the revisions of all live instances; empty if currently unknown."""
        if self._clock.now() - self._read_at > _COUNTS_LIFETIME:
            return []
        return self._counts

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Query members until cancelled."""
        task_status.started()
        while True:
            try:
                await self._query_member()
            except CodedError as error:
                _logger.debug("peer: cannot read the revisions in force: %s", error)
            await anyio.sleep(_QUERY_INTERVAL_S)

    async def _query_member(self) -> None:
        seeds = await self._list_seeds()
        if not seeds:
            return
        seed = parse_address(self._rng.choice(seeds))
        claim = await request_over_stream(
            seed.host, seed.port, self._authenticator, ForceQuery()
        )
        if isinstance(claim, ForceClaim) and claim.counts:
            self._counts = claim.counts
            self._read_at = self._clock.now()

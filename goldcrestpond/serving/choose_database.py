"""Chooses the database that runs a read."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

# Added to the leader's expected wait: only the leader takes writes, so reads go to it
# only where it is faster than the replicas by more than this.
LEADER_COST = timedelta(milliseconds=8)
# The same where connections belong to organisations: one that a read opens at the
# leader takes the place of one for writes. It is more than two openings take, so that a
# replica without a connection is preferred.
SCARCE_LEADER_COST = timedelta(milliseconds=30)
# An organisation's reads go to the next database of its order only if that is faster by
# more than this, about an opening: they find a connection where they went before.
RANK_COST = timedelta(milliseconds=12)
# Added for a replica that may lack the minimum position: the cost of a round trip that
# ends in a refusal.
UNKNOWN_POSITION_COST = timedelta(milliseconds=2)


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """A database that may run a read.

    Attributes
    ----------
    database_id : str
        Id of the database.
    wait : timedelta
        Expected time until the database starts the read.
    is_leader : bool
        Whether it is the leader.
    has_min_position : bool
        Whether it is known to have reached the minimum position of the read.
    is_avoided : bool
        Whether other databases are preferred because it failed recently.
    rank : int or None
        Place in the order of the organisation's databases, from 0; None for reads
        that use any connection.
    """

    database_id: str
    wait: timedelta
    is_leader: bool
    has_min_position: bool
    is_avoided: bool
    rank: int | None = None


def choose_database(
    candidates: Iterable[ReadCandidate], rng: random.Random
) -> ReadCandidate | None:
    """Return the candidate with the least expected cost.

    An avoided database is chosen only if all candidates are avoided. Ties are broken
    at random, so that instances with the same data do not all choose the same database.
    """
    return min(
        candidates,
        key=lambda candidate: (
            candidate.is_avoided,
            _compute_cost(candidate),
            rng.random(),
        ),
        default=None,
    )


def _compute_cost(candidate: ReadCandidate) -> timedelta:
    cost = candidate.wait
    if candidate.rank is not None:
        cost += candidate.rank * RANK_COST
    if candidate.is_leader:
        cost += LEADER_COST if candidate.rank is None else SCARCE_LEADER_COST
    elif not candidate.has_min_position:
        cost += UNKNOWN_POSITION_COST
    return cost

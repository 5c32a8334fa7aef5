"""Which database runs a read."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

# A replica is preferred until the leader, which alone takes writes, would be
# faster by this.
LEADER_RESERVE = timedelta(milliseconds=8)
# Cost of a round trip that ends in a refusal for lack of the floor.
DOUBTFUL_COST = timedelta(milliseconds=2)


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """A database that may run a read.

    Attributes
    ----------
    database_id : str
        Its id.
    wait : timedelta
        Expected time until it starts the read.
    is_leader : bool
        Whether it leads.
    has_floor : bool
        Whether it is known to have the floor.
    is_avoided : bool
        Whether it failed lately.
    """

    database_id: str
    wait: timedelta
    is_leader: bool
    has_floor: bool
    is_avoided: bool


def choose_database(
    candidates: Iterable[ReadCandidate], rng: random.Random
) -> ReadCandidate | None:
    """Return the candidate with the least expected cost.

    Ties are broken at random, so that instances that know the same do not
    choose the same.
    """
    return min(
        candidates,
        key=lambda candidate: (candidate.is_avoided, _cost(candidate), rng.random()),
        default=None,
    )


def _cost(candidate: ReadCandidate) -> timedelta:
    cost = candidate.wait
    if candidate.is_leader:
        cost += LEADER_RESERVE
    elif not candidate.has_floor:
        cost += DOUBTFUL_COST
    return cost

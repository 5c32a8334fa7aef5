"""Which holder a request goes to."""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol, TypeVar

from ..serving.endpoint_health import EndpointHealth

# A loan from another zone takes some round trips more; all instances of a zone
# prefer the same holder, so this must not outweigh a queue there.
FAR_COST = timedelta(milliseconds=5)
# What one more loan of this instance makes the next one wait: a statement's work.
LOAN_COST = timedelta(milliseconds=10)


class HolderState(Protocol):
    """What the choice looks at."""

    availability_zone: str
    health: EndpointHealth
    outstanding: int


_Holder = TypeVar("_Holder", bound=HolderState)


def choose_holder(
    holders: Iterable[_Holder],
    availability_zone: str,
    recent_wait: Callable[[_Holder], timedelta],
    now: timedelta,
    rng: random.Random,
) -> _Holder | None:
    """Return the holder with the least expected wait; None if there is none.

    One that failed lately is asked only where no other is left.

    Parameters
    ----------
    holders : iterable
        The holders.
    availability_zone : str
        Zone of this instance.
    recent_wait : callable
        Returns how long a holder has let wait lately.
    now : timedelta
        Monotonic reading.
    rng : random.Random
        Decides between equals.
    """

    def cost(holder: _Holder) -> tuple[bool, timedelta, float]:
        wait = recent_wait(holder) + holder.outstanding * LOAN_COST
        if holder.availability_zone != availability_zone:
            wait += FAR_COST
        return (holder.health.is_avoided(now), wait, rng.random())

    return min(holders, key=cost, default=None)

"""Which holder a request goes to."""

import random
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol, TypeVar

from ..serving.endpoint_health import EndpointHealth

# A holder in another zone is taken once those near have so many more requests.
NEAR_RESERVE = 4


class HolderState(Protocol):
    """What the choice looks at."""

    availability_zone: str
    health: EndpointHealth
    outstanding: int


_Holder = TypeVar("_Holder", bound=HolderState)


def choose_holder(
    holders: Iterable[_Holder],
    availability_zone: str,
    now: timedelta,
    rng: random.Random,
) -> _Holder | None:
    """Return the holder with the least work, near ones first; None if there is none.

    One that failed lately is asked only where no other is left.
    """

    def cost(holder: _Holder) -> tuple[bool, int, float]:
        is_far = holder.availability_zone != availability_zone
        work = holder.outstanding + (NEAR_RESERVE if is_far else 0)
        return (holder.health.is_avoided(now), work, rng.random())

    return min(holders, key=cost, default=None)

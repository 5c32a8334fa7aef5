"""Chooses the holder to which a request is sent."""

import random
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol, TypeVar

from ..serving.endpoint_health import EndpointHealth

# A holder in another availability zone is treated as if it had this many more
# checkouts, so that holders in this instance's zone are preferred.
OTHER_ZONE_PENALTY = 4


class HolderLoad(Protocol):
    """Attributes of a holder that the choice depends on."""

    availability_zone: str
    health: EndpointHealth
    checkout_count: int


_Holder = TypeVar("_Holder", bound=HolderLoad)


def choose_holder(
    holders: Iterable[_Holder],
    availability_zone: str,
    now: timedelta,
    rng: random.Random,
) -> _Holder | None:
    """Return the holder with the fewest checkouts, or None if there is none.

    Holders in this instance's availability zone are preferred. One that failed
    recently is chosen only if no other is left. Ties are broken at random.
    """

    def cost(holder: _Holder) -> tuple[bool, int, float]:
        is_other_zone = holder.availability_zone != availability_zone
        load = holder.checkout_count + (OTHER_ZONE_PENALTY if is_other_zone else 0)
        return (holder.health.is_avoided(now), load, rng.random())

    return min(holders, key=cost, default=None)

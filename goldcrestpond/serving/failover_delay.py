"""Orders the holders of a service by when they try to replace its leader."""

from collections.abc import Iterable
from datetime import timedelta

from ..placement.rendezvous import compute_weight

# Time that the preceding holder has to claim: two calls to the store, each answered
# within tens of milliseconds, and one interval of the leader monitor.
DELAY_STEP = timedelta(milliseconds=300)
# All further holders wait this many steps. If the first ones have crashed or hang, the
# service is claimed within about a second, and the store's conditions let one of
# several simultaneous claims succeed.
DELAY_STEPS_MAX = 4


def failover_delay(service: str, instance: str, holders: Iterable[str]) -> timedelta:
    """Return how long an instance waits before it tries to claim a service.

    The order of the instances differs by service, so that claims rarely collide.

    Parameters
    ----------
    service : str
        The service.
    instance : str
        Name of the instance.
    holders : iterable of str
        Names of the instances that may claim; empty while they are unknown.
    """
    rank = holder_rank(service, instance, holders)
    return min(rank, DELAY_STEPS_MAX) * DELAY_STEP


def holder_rank(service: str, instance: str, holders: Iterable[str]) -> int:
    """Return how many holders of a service precede an instance in its order."""
    return sum(
        compute_weight(service, name) < compute_weight(service, instance)
        for name in holders
    )

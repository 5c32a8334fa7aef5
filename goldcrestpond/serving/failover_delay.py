"""In which order the holders of a service try to replace its leader."""

from collections.abc import Iterable
from datetime import timedelta

from ..placement.rendezvous import compute_weight

# Time for the one before to claim: two calls to the store, which answers within
# tens of milliseconds, and a tick of the watch.
DELAY_STEP = timedelta(milliseconds=300)
# Further ones wait no longer: if the first are dead or frozen together, somebody
# claims within about a second, and the store decides between those that race.
DELAY_STEPS_MAX = 4


def failover_delay(service: str, instance: str, holders: Iterable[str]) -> timedelta:
    """Return how long an instance lets others try first.

    The order differs by service, so that claims seldom race.

    Parameters
    ----------
    service : str
        The service.
    instance : str
        Name of the instance.
    holders : iterable of str
        Names of those that may claim; empty while they are unknown.
    """
    before = sum(
        compute_weight(service, name) < compute_weight(service, instance)
        for name in holders
    )
    return min(before, DELAY_STEPS_MAX) * DELAY_STEP

"""Chooses the holders of all services of a fleet, so that they carry alike."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

from .candidate import Candidate
from .rendezvous import divide_holders, rank_candidates


def place_services(
    counts: Mapping[str, int], candidates: Sequence[Candidate]
) -> dict[str, list[str]]:
    """Return the names of the holders of each service.

    The holders of a service are spread over the availability zones and, within a zone,
    are those with the highest rendezvous weights that don't hold as many services as is
    their even part yet. So no instance holds two services while another one of its zone
    holds none. When an instance joins or leaves, a service changes at most one holder,
    apart from those that the change displaces.

    Parameters
    ----------
    counts : mapping of str to int
        Number of holders of each service.
    candidates : sequence of Candidate
        Live instances that may hold services.
    """
    sizes = Counter(candidate.availability_zone for candidate in candidates)
    zones = sorted(sizes)
    wanted: Counter[str] = Counter()
    for count in counts.values():
        wanted.update(divide_holders(count, zones))
    limits = {zone: math.ceil(wanted[zone] / sizes[zone]) for zone in zones}
    held: Counter[str] = Counter()
    placed = {}
    for service in sorted(counts):
        chosen = _choose(service, counts[service], candidates, zones, limits, held)
        held.update(chosen)
        placed[service] = chosen
    return placed


def _choose(
    service: str,
    count: int,
    candidates: Sequence[Candidate],
    zones: Sequence[str],
    limits: Mapping[str, int],
    held: Mapping[str, int],
) -> list[str]:
    ranked = rank_candidates(service, candidates)
    zone_counts = divide_holders(count, zones)
    chosen = []
    for candidate in ranked:
        zone = candidate.availability_zone
        if zone_counts[zone] and held[candidate.name] < limits[zone]:
            zone_counts[zone] -= 1
            chosen.append(candidate.name)
    # A zone may be too small for its part.
    left = [candidate.name for candidate in ranked if candidate.name not in chosen]
    left.sort(key=lambda name: held[name])
    return chosen + left[: count - len(chosen)]

"""Chooses which members hold each service of a fleet."""

from collections.abc import Mapping, Sequence

from ..placement.candidate import Candidate
from ..placement.rendezvous import choose_holders
from ..placement.service_placement import place_services
from ..serving.fleet_protocol import HOLDERS_BY_SERVICE, find_fleet_protocol
from ..serving.members import Member
from .eligible_members import eligible_members

SHARED_HOLDERS_KEY = "organisations"  # holders of all services


def choose_holder_names(
    counts: Mapping[str, int], members: Sequence[Member], has_organisations: bool
) -> dict[str, list[str]]:
    """Return the names of the members that hold each service.

    They are spread over the availability zones. The choice depends on the members
    alone, so that instances that know the same ones choose the same holders.

    Parameters
    ----------
    counts : mapping of str to int
        Number of holders of each service.
    members : sequence of Member
        Live instances.
    has_organisations : bool
        Whether the services are for organisations.
    """
    if find_fleet_protocol(members) >= HOLDERS_BY_SERVICE:
        candidates = _to_candidates(eligible_members(members, sum(counts.values())))
        return place_services(counts, candidates)
    if has_organisations:
        return dict.fromkeys(counts, _choose(SHARED_HOLDERS_KEY, members, counts))
    return {name: _choose(name, members, {name: counts[name]}) for name in counts}


def _choose(
    key: str, members: Sequence[Member], counts: Mapping[str, int]
) -> list[str]:
    """Return the holders by the first protocol."""
    count = min(counts.values())
    candidates = _to_candidates(eligible_members(members, count))
    zones = [candidate.availability_zone for candidate in candidates]
    return [each.name for each in choose_holders(key, candidates, count, zones)]


def _to_candidates(members: Sequence[Member]) -> list[Candidate]:
    return [Candidate(m.name, m.availability_zone) for m in members]

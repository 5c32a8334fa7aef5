"""Decides which instances read the store, and whom each of the others follows."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..placement.candidate import Candidate
from ..placement.rendezvous import choose_holders, compute_weight
from ..relay.eligible_members import eligible_members
from ..serving.members import Member

# Instances that may read the store, in this order: the first one does, the others take
# over. Two may fail, or be refused by the store, at the same time.
READER_COUNT = 3
# In a fleet of up to this size all others follow the readers directly.
DIRECT_FOLLOWER_LIMIT = 48
# In a larger one, this many instances of each availability zone follow the readers;
# the others of the zone follow them in turn, so that a change crosses each zone's
# links once and no instance answers the whole fleet.
ZONE_RELAY_COUNT = 2
_READER_KEY = "table readers"


@dataclass(frozen=True, slots=True)
class ReaderPlan:
    """Whom an instance follows.

    Attributes
    ----------
    rank : int or None
        Its place among the instances that may read the store, from 0; None if it is
        none of them. The first one reads the store.
    sources : tuple of Member
        The instances that it follows, in the order in which they are tried.
    others : tuple of Member
        All other members, which may know the tables if no source does.
    """

    rank: int | None
    sources: tuple[Member, ...]
    others: tuple[Member, ...]


def make_reader_plan(instance: str, members: Sequence[Member]) -> ReaderPlan:
    """Return whom an instance follows among these members.

    Each source stands before the instance in one order over all members, so that
    instances with the same members never follow each other in a circle.

    Parameters
    ----------
    instance : str
        Name of the instance.
    members : sequence of Member
        All live members, with or without the instance itself.
    """
    reachable = [member for member in members if member.address is not None]
    readers = _choose(_READER_KEY, reachable, READER_COUNT)
    names = [member.name for member in readers]
    rank = names.index(instance) if instance in names else None
    sources = readers if rank is None else readers[:rank]
    if rank is None and len(reachable) > DIRECT_FOLLOWER_LIMIT:
        sources = _zone_relays(instance, reachable) + sources
    others = [m for m in reachable if m.name != instance and m not in sources]
    return ReaderPlan(rank, tuple(dict.fromkeys(sources)), tuple(others))


def _choose(key: str, members: Sequence[Member], count: int) -> list[Member]:
    """Return members with fast links, spread over zones, in an order that all share."""
    eligible = eligible_members(members, count)
    by_name = {member.name: member for member in eligible}
    candidates = [Candidate(m.name, m.availability_zone) for m in eligible]
    zones = sorted({m.availability_zone for m in eligible})
    chosen = choose_holders(key, candidates, count, zones)
    chosen.sort(key=lambda candidate: compute_weight(key, candidate.name), reverse=True)
    return [by_name[candidate.name] for candidate in chosen]


def _zone_relays(instance: str, members: Sequence[Member]) -> list[Member]:
    """Return the relays of the instance's zone that stand before it."""
    zones = {m.name: m.availability_zone for m in members}
    zone = zones.get(instance)
    in_zone = [m for m in members if m.availability_zone == zone]
    relays = _choose(f"{_READER_KEY} {zone}", in_zone, ZONE_RELAY_COUNT)
    names = [member.name for member in relays]
    if instance in names:
        return relays[: names.index(instance)]
    return relays

"""Rendezvous hashing of groups to the instances that keep connections to them."""

from collections.abc import Iterable, Sequence

import xxhash

from .candidate import Candidate


def compute_weight(group: str, name: str) -> int:
    """Return the weight of an instance for a group.

    The instances with the highest weights are the group's holders.
    """
    return xxhash.xxh3_64_intdigest(f"{group}\0{name}".encode())


def choose_holders(
    group: str,
    candidates: Iterable[Candidate],
    count: int,
    availability_zones: Sequence[str] = (),
) -> list[Candidate]:
    """Return the instances that keep connections to a group.

    The holders are divided evenly among the availability zones of the group's
    databases; within a zone, the candidates with the highest weights are chosen. If
    a zone has too few candidates, the rest is filled with the highest weights of all
    others. When an instance joins or leaves, at most one holder of the group changes.

    Parameters
    ----------
    group : str
        Name of the group.
    candidates : iterable of Candidate
        Live instances.
    count : int
        Number of holders of the group.
    availability_zones : sequence of str, default=()
        Availability zones of the group's databases.

    Returns
    -------
    list of Candidate
        At most ``count`` instances.
    """
    ranked = rank_candidates(group, candidates)
    zone_counts = divide_holders(count, sorted(set(availability_zones)))
    chosen = [
        candidate
        for availability_zone, zone_count in zone_counts.items()
        for candidate in _filter_by_zone(ranked, availability_zone)[:zone_count]
    ]
    chosen_names = {candidate.name for candidate in chosen}
    others = [candidate for candidate in ranked if candidate.name not in chosen_names]
    return chosen + others[: count - len(chosen)]


def rank_candidates(group: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates by their weight for a group, the highest first."""
    return sorted(
        candidates,
        key=lambda candidate: compute_weight(group, candidate.name),
        reverse=True,
    )


def divide_holders(count: int, availability_zones: Sequence[str]) -> dict[str, int]:
    """Return how many of a group's holders each availability zone has."""
    return {
        availability_zone: count // len(availability_zones)
        + (index < count % len(availability_zones))
        for index, availability_zone in enumerate(availability_zones)
    }


def _filter_by_zone(
    candidates: list[Candidate], availability_zone: str
) -> list[Candidate]:
    return [
        candidate
        for candidate in candidates
        if candidate.availability_zone == availability_zone
    ]

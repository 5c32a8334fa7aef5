"""Rendezvous hashing of groups to the instances that hold connections."""

from collections.abc import Iterable, Sequence

import xxhash

from .candidate import Candidate


def compute_weight(group: str, name: str) -> int:
    """Return the weight of an instance for a group; the heaviest hold it."""
    return xxhash.xxh3_64_intdigest(f"{group}\0{name}".encode())


def choose_holders(
    group: str,
    candidates: Iterable[Candidate],
    count: int,
    availability_zones: Sequence[str] = (),
) -> list[Candidate]:
    """Return the instances that hold connections to a group.

    The places go in turn to the zones of the group's databases, each to its
    heaviest candidates; places that these cannot fill go to the heaviest of
    all others. A newcomer takes places only for itself, and one that leaves
    gives up only its own.

    Parameters
    ----------
    group : str
        Name of the group.
    candidates : iterable of Candidate
        Live instances.
    count : int
        Places of the group.
    availability_zones : sequence of str, default=()
        Zones of the group's databases, in the order of their names.

    Returns
    -------
    list of Candidate
        At most ``count`` instances.
    """
    ranked = sorted(
        candidates,
        key=lambda candidate: compute_weight(group, candidate.name),
        reverse=True,
    )
    shares = _share(count, sorted(set(availability_zones)))
    chosen = [
        candidate
        for availability_zone, share in shares.items()
        for candidate in _in_availability_zone(ranked, availability_zone)[:share]
    ]
    taken = {candidate.name for candidate in chosen}
    others = [candidate for candidate in ranked if candidate.name not in taken]
    return chosen + others[: count - len(chosen)]


def _share(count: int, availability_zones: list[str]) -> dict[str, int]:
    return {
        availability_zone: count // len(availability_zones)
        + (index < count % len(availability_zones))
        for index, availability_zone in enumerate(availability_zones)
    }


def _in_availability_zone(
    candidates: list[Candidate], availability_zone: str
) -> list[Candidate]:
    return [
        candidate
        for candidate in candidates
        if candidate.availability_zone == availability_zone
    ]

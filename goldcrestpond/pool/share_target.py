"""Divides connections by demand."""

from .share_entry import ShareEntry
from .share_limits import ShareLimits


def share_targets(
    entries: dict[str, ShareEntry], limits: ShareLimits
) -> dict[str, int]:
    """Return the share that each instance should hold.

    Each has its floor; the rest goes by demand, the remainder to the largest
    fractions, and among equal ones by name. All instances that see the same
    entries find the same targets.
    """
    floors = {n: max(entry.floor, limits.floor) for n, entry in entries.items()}
    elastic = limits.connection_limit - sum(floors.values())
    weights = {name: entry.demand for name, entry in entries.items()}
    total = sum(weights.values())
    if elastic < 0:
        return {name: entry.floor for name, entry in entries.items()}
    if not total:
        return floors
    targets = {
        name: floors[name] + elastic * weights[name] // total for name in entries
    }
    left = limits.connection_limit - sum(targets.values())
    by_fraction = sorted(
        entries, key=lambda name: (-(elastic * weights[name] % total), name)
    )
    for name in by_fraction[:left]:
        targets[name] += 1
    return targets

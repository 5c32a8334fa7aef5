"""Division of a database's connections by demand."""

from .share_entry import ShareEntry
from .share_limits import ShareLimits


def compute_share_targets(
    entries: dict[str, ShareEntry], limits: ShareLimits
) -> dict[str, int]:
    """Return the share that each instance should have.

    Each instance gets its floor, and the rest is divided in proportion to demand by
    the largest remainder method; equal remainders are ordered by name. Instances with
    the same entries therefore compute the same targets.

    Parameters
    ----------
    entries : dict of str to ShareEntry
        Entries by name of the instance.
    limits : ShareLimits
        Limits of the database.
    """
    floors = {n: max(entry.floor, limits.floor) for n, entry in entries.items()}
    divisible = limits.connection_limit - sum(floors.values())
    demands = {name: entry.demand for name, entry in entries.items()}
    total_demand = sum(demands.values())
    if divisible < 0:
        return {name: entry.floor for name, entry in entries.items()}
    if not total_demand:
        return floors
    targets = {
        name: floors[name] + divisible * demands[name] // total_demand
        for name in entries
    }
    remaining = limits.connection_limit - sum(targets.values())
    by_remainder = sorted(
        entries, key=lambda name: (-(divisible * demands[name] % total_demand), name)
    )
    for name in by_remainder[:remaining]:
        targets[name] += 1
    return targets

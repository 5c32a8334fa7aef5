"""Chooses which holders of a service serve an organisation."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .rendezvous import compute_weight

# One organisation loads a home with at most this part of the even load of a holder.
HOME_LOAD_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class OrganisationHomes:
    """Holders that serve an organisation.

    Attributes
    ----------
    homes : tuple of str
        Names of the holders that serve it; each one takes an equal part.
    standby : str
        Name of the holder that serves it while no home can, and that becomes a home
        when one leaves; empty if there is no further holder.
    """

    homes: tuple[str, ...] = ()
    standby: str = ""


def rank_holders(organisation: str, holders: Iterable[str]) -> list[str]:
    """Return the holders in their order for an organisation.

    When a holder joins or leaves, the order of the others stays.
    """
    return sorted(
        holders,
        key=lambda name: (compute_weight(organisation, name), name),
        reverse=True,
    )


def compute_rate_parts(rates: Mapping[str, float]) -> dict[str, float]:
    """Return the part of each organisation of all rates; the parts add up to 1.

    An organisation whose rate is infinite counts as an average one.

    Parameters
    ----------
    rates : mapping of str to float
        Operations per second that each organisation may run.
    """
    limited = [rate for rate in rates.values() if math.isfinite(rate)]
    total = sum(limited)
    average = total / len(limited) if total > 0 else 1.0
    counted = {
        name: rate if math.isfinite(rate) else average for name, rate in rates.items()
    }
    counted_total = sum(counted.values())
    if counted_total <= 0:
        return {name: 1 / len(rates) for name in rates}
    return {name: rate / counted_total for name, rate in counted.items()}


def home_count(part: float, holder_count: int) -> int:
    """Return how many holders serve an organisation.

    Parameters
    ----------
    part : float
        Its part of all rates.
    holder_count : int
        Holders of the service.
    """
    needed = math.ceil(part * holder_count / HOME_LOAD_FRACTION - 1e-9)
    return max(1, min(holder_count, needed))


def choose_homes(
    parts: Mapping[str, float], holders: Sequence[str]
) -> dict[str, OrganisationHomes]:
    """Return the homes of each organisation.

    Parameters
    ----------
    parts : mapping of str to float
        Part of each organisation of all rates.
    holders : sequence of str
        Names of the holders of a service; their order does not matter.
    """
    chosen = {}
    for organisation, part in parts.items():
        ranked = rank_holders(organisation, holders)
        count = home_count(part, len(ranked))
        standby = ranked[count] if count < len(ranked) else ""
        chosen[organisation] = OrganisationHomes(tuple(ranked[:count]), standby)
    return chosen


def choose_meter(organisation: str, holders: Iterable[str]) -> OrganisationHomes:
    """Return the one holder that meters an organisation, and its standby.

    Among the holders of all services it has the highest weight, so that it is the
    organisation's home at the services that it holds.
    """
    ranked = rank_holders(organisation, holders)
    return OrganisationHomes(tuple(ranked[:1]), ranked[1] if len(ranked) > 1 else "")


def sum_home_parts(
    parts: Mapping[str, float], homes: Mapping[str, OrganisationHomes]
) -> dict[str, float]:
    """Return the part of all rates that has its home at each holder."""
    sums: dict[str, float] = {}
    for organisation, part in parts.items():
        names = homes[organisation].homes
        for name in names:
            sums[name] = sums.get(name, 0.0) + part / len(names)
    return sums

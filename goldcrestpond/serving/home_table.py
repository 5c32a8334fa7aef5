"""The homes of all organisations at all services, as this instance knows them."""

from collections.abc import Collection, Iterator, Mapping, Sequence

from ..placement.organisation_homes import (
    OrganisationHomes,
    choose_homes,
    choose_meter,
    compute_rate_parts,
    sum_home_parts,
)
from ..rates.rate_role import RateRole
from .home_role import HomeRole
from .organisation import Organisation

_NOWHERE = OrganisationHomes()


class HomeTable:
    """Homes and standby of each organisation, by service, and its meter.

    A home lends connections; the meter counts the organisation's operations at all
    services. It is the home at one of them.

    Parameters
    ----------
    instance : str
        Name of this instance.

    Attributes
    ----------
    organisations : mapping of str to Organisation, or None
        The organisations by name; None if the configuration has none.
    has_one_meter : bool
        Whether one instance meters an organisation. By the first protocol the homes,
        which are the same at all services then, each meter a part.
    """

    __slots__ = (
        "_by_service",
        "_instance",
        "_meters",
        "_parts",
        "has_one_meter",
        "organisations",
    )

    def __init__(self, instance: str):
        self._instance = instance
        self._by_service: dict[str, Mapping[str, OrganisationHomes]] = {}
        self._parts: dict[str, float] = {}
        self._meters: Mapping[str, OrganisationHomes] = {}
        self.has_one_meter = True
        self.organisations: Mapping[str, Organisation] | None = None

    def assign(
        self,
        organisations: Mapping[str, Organisation] | None,
        holders: Mapping[str, Sequence[str]],
        excluded: Collection[str],
        has_one_meter: bool = True,
    ) -> None:
        """Choose the homes anew.

        Parameters
        ----------
        organisations : mapping of str to Organisation, or None
            The organisations by name; None if the configuration has none.
        holders : mapping of str to sequence of str
            Names of the holders of each service.
        excluded : collection of str
            Names of instances that are no homes: those marked absent.
        has_one_meter : bool, default=True
            Whether one instance meters an organisation. If not, all services must
            have the same holders.
        """
        self.organisations = organisations
        self.has_one_meter = has_one_meter
        self._by_service = {}
        self._parts = {}
        self._meters = {}
        if organisations is None:
            return
        rates = {name: each.rate_per_s for name, each in organisations.items()}
        self._parts = compute_rate_parts(rates)
        by_holders: dict[tuple[str, ...], Mapping[str, OrganisationHomes]] = {}
        for service, names in holders.items():
            # If all are excluded, it is more likely that the marks are wrong.
            present = tuple(sorted(set(names) - set(excluded)) or sorted(names))
            if present not in by_holders:
                by_holders[present] = choose_homes(self._parts, present)
            self._by_service[service] = by_holders[present]
        if has_one_meter:
            everyone = sorted({name for present in by_holders for name in present})
            self._meters = {name: choose_meter(name, everyone) for name in self._parts}
        else:
            self._meters = next(iter(by_holders.values()), {})

    def homes(self, service: str, organisation: str) -> OrganisationHomes:
        """Return the homes of an organisation at a service; none if unknown."""
        return self._by_service.get(service, {}).get(organisation, _NOWHERE)

    def role(self, service: str, organisation: str) -> HomeRole:
        """Return what this instance is to an organisation at a service."""
        return self._role_in(self.homes(service, organisation))

    def meters(self, organisation: str) -> OrganisationHomes:
        """Return who meters an organisation, and the standby; none if unknown."""
        return self._meters.get(organisation, _NOWHERE)

    def meter_role(self, organisation: str) -> HomeRole:
        """Return whether this instance meters an organisation, or stands by for it."""
        return self._role_in(self.meters(organisation))

    def home_names(self) -> set[str]:
        """Return the names of all homes; meters are among them."""
        return {name for homes in self._all() for name in homes.homes}

    def stood_by(self) -> set[str]:
        """Return the names of the homes and meters that this instance stands by for."""
        return {
            name
            for homes in self._all()
            if homes.standby == self._instance
            for name in homes.homes
        }

    def _all(self) -> Iterator[OrganisationHomes]:
        for by_name in [*self._by_service.values(), self._meters]:
            yield from by_name.values()

    def _role_in(self, homes: OrganisationHomes) -> HomeRole:
        if self._instance in homes.homes:
            return HomeRole.HOME
        return HomeRole.STANDBY if self._instance == homes.standby else HomeRole.NONE

    def rate_roles(self) -> dict[str, RateRole]:
        """Return the parts of each organisation's rate that this instance may spend.

        The main share is divided evenly among the meters; the reserve is the standby's.
        Organisations without a part are left out.
        """
        roles = {}
        for organisation, meters in self._meters.items():
            role = self._role_in(meters)
            if role is HomeRole.HOME:
                roles[organisation] = RateRole(1 / len(meters.homes), 0.0)
            elif role is HomeRole.STANDBY:
                roles[organisation] = RateRole(0.0, 1.0)
        return roles

    def expected(self, service: str) -> list[str]:
        """Return the organisations that have a home here, the largest first."""
        homes = self._by_service.get(service, {})
        here = [name for name in homes if self._instance in homes[name].homes]
        return sorted(here, key=lambda name: (-self._parts[name], name))

    def holder_parts(self, service: str) -> dict[str, float]:
        """Return the part of all rates that has its home at each holder of a service.

        It is empty without organisations; a holder without a home is left out.
        """
        homes = self._by_service.get(service)
        return sum_home_parts(self._parts, homes) if homes and self._parts else {}

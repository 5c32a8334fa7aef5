"""The homes of all organisations at all services, as this instance knows them."""

from collections.abc import Collection, Mapping, Sequence

from ..placement.organisation_homes import (
    OrganisationHomes,
    choose_homes,
    compute_rate_parts,
    sum_home_parts,
)
from ..rates.rate_role import RateRole
from .home_role import HomeRole
from .organisation import Organisation

_NOWHERE = OrganisationHomes()


class HomeTable:
    """Homes and standby of each organisation, by service.

    Parameters
    ----------
    instance : str
        Name of this instance.

    Attributes
    ----------
    organisations : mapping of str to Organisation, or None
        The organisations by name; None if the configuration has none.
    """

    __slots__ = ("_by_service", "_instance", "_parts", "organisations")

    def __init__(self, instance: str):
        self._instance = instance
        self._by_service: dict[str, Mapping[str, OrganisationHomes]] = {}
        self._parts: dict[str, float] = {}
        self.organisations: Mapping[str, Organisation] | None = None

    def assign(
        self,
        organisations: Mapping[str, Organisation] | None,
        holders: Mapping[str, Sequence[str]],
        excluded: Collection[str],
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
        """
        self.organisations = organisations
        self._by_service = {}
        self._parts = {}
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

    def homes(self, service: str, organisation: str) -> OrganisationHomes:
        """Return the homes of an organisation at a service; none if unknown."""
        return self._by_service.get(service, {}).get(organisation, _NOWHERE)

    def role(self, service: str, organisation: str) -> HomeRole:
        """Return what this instance is to an organisation at a service."""
        homes = self.homes(service, organisation)
        if self._instance in homes.homes:
            return HomeRole.HOME
        return HomeRole.STANDBY if self._instance == homes.standby else HomeRole.NONE

    def all_homes(self, organisation: str) -> list[str]:
        """Return the names of the homes of an organisation at all services, sorted."""
        return sorted(
            {
                name
                for homes in self._by_service.values()
                if organisation in homes
                for name in homes[organisation].homes
            }
        )

    def home_names(self) -> set[str]:
        """Return the names of all homes."""
        return {
            name
            for by_name in self._by_service.values()
            for homes in by_name.values()
            for name in homes.homes
        }

    def stood_by(self) -> set[str]:
        """Return the names of the homes for which this instance is a standby."""
        return {
            name
            for by_name in self._by_service.values()
            for homes in by_name.values()
            if homes.standby == self._instance
            for name in homes.homes
        }

    def rate_roles(self) -> dict[str, RateRole]:
        """Return the parts of each organisation's rate that this instance may spend.

        The main share is divided evenly among the homes at all services, the reserve
        of the standby among the standbys. Organisations without a part are left out.
        """
        roles = {}
        for organisation in self.organisations or ():
            homes = set(self.all_homes(organisation))
            standbys = {
                by_name[organisation].standby
                for by_name in self._by_service.values()
                if by_name[organisation].standby
            }
            role = RateRole(
                1 / len(homes) if self._instance in homes else 0.0,
                1 / len(standbys) if self._instance in standbys else 0.0,
            )
            if role.main_share or role.standby_share:
                roles[organisation] = role
        return roles

    def holder_parts(self, service: str) -> dict[str, float]:
        """Return the part of all rates that has its home at each holder of a service.

        It is empty without organisations; a holder without a home is left out.
        """
        homes = self._by_service.get(service)
        return sum_home_parts(self._parts, homes) if homes and self._parts else {}

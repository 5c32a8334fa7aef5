"""A configuration that is checked before it is sent."""

from dataclasses import dataclass, field
from datetime import timedelta

from .finding import Finding
from .organisation_draft import OrganisationDraft
from .route import Route
from .route_table import ServiceLimits


@dataclass(frozen=True, slots=True)
class ConfigurationDraft:
    """The entries of a configuration in their order, duplicates included.

    Attributes
    ----------
    version : int or None
        Version number; None if it cannot be decoded.
    routes : list of Route
        Routes that can be decoded.
    services : list of (str, ServiceLimits)
        Names and limits of the services that can be decoded.
    transaction_idle_limit : timedelta or None
        Longest time that a transaction may be idle between statements; None if it
        cannot be decoded.
    organisations : list of OrganisationDraft or None
        Organisations that can be decoded; None if the configuration has none.
    faults : list of Finding
        What cannot be decoded.
    """

    version: int | None = None
    routes: list[Route] = field(default_factory=list)
    services: list[tuple[str, ServiceLimits]] = field(default_factory=list)
    transaction_idle_limit: timedelta | None = None
    organisations: list[OrganisationDraft] | None = None
    faults: list[Finding] = field(default_factory=list)

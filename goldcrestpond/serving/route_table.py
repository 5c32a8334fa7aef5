"""The operator's configuration in force."""

from dataclasses import dataclass, field
from datetime import timedelta

from .organisations import Organisations
from .route import Route


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of one service.

    Attributes
    ----------
    connection_limit : int
        Limit on the connections of all instances together to one of its databases.
    synchronous_replicas : int
        Number of replicas that must receive a commit before it is acknowledged.
    """

    connection_limit: int
    synchronous_replicas: int


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Version number; a process never goes back to a lower one.
    routes : dict of str to Route
        Routes by the database name that callers ask for.
    services : dict of str to ServiceLimits
        Limits by service.
    transaction_idle_limit : timedelta
        Longest time that a transaction may be idle between statements.
    organisations : Organisations or None
        The organisations, of one of which callers need a key unless their route is
        open; None if the configuration has none, so that no caller needs a key.
    """

    version: int = 0
    routes: dict[str, Route] = field(default_factory=dict)
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    transaction_idle_limit: timedelta = timedelta(seconds=10)
    organisations: Organisations | None = None

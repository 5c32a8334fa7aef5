"""What a route declares for all its callers."""

from dataclasses import dataclass
from datetime import timedelta

from ..configuration.configuration import Configuration
from ..configuration.route_spec import RouteSpec


@dataclass(frozen=True, slots=True)
class RouteDefaults:
    """Declarations of a route and its read policy.

    Attributes
    ----------
    read_only : bool
        All work is read-only.
    repeatable : bool
        All work may be repeated.
    lane : str
        Lane of the slots.
    max_age : timedelta or None
        Age of data that reads accept.
    """

    read_only: bool
    repeatable: bool
    lane: str
    max_age: timedelta | None


def read_route_defaults(
    route: RouteSpec, configuration: Configuration
) -> RouteDefaults:
    """Return what a route declares under a configuration."""
    policy = configuration.read_policies.get(route.read_policy)
    max_age = None
    if policy is not None:
        max_age = timedelta(milliseconds=policy.max_age_ms)
    return RouteDefaults(route.read_only, route.repeatable, route.lane, max_age)

"""Declarations of a route that apply to all its callers."""

from dataclasses import dataclass
from datetime import timedelta

from ..configuration.configuration import Configuration
from ..configuration.route_spec import RouteSpec


@dataclass(frozen=True, slots=True)
class RouteDefaults:
    """Default declarations from a route and its read policy.

    Attributes
    ----------
    read_only : bool
        Whether all transactions are read-only.
    repeatable : bool
        Whether a request may be repeated when its outcome is unknown.
    lane : str
        Lane in which requests wait for a slot.
    max_age : timedelta or None
        Greatest age of data that reads accept.
    """

    read_only: bool
    repeatable: bool
    lane: str
    max_age: timedelta | None


def read_route_defaults(
    route: RouteSpec, configuration: Configuration
) -> RouteDefaults:
    """Return the defaults of a route under a configuration."""
    policy = configuration.read_policies.get(route.read_policy)
    max_age = None
    if policy is not None:
        max_age = timedelta(milliseconds=policy.max_age_ms)
    return RouteDefaults(route.read_only, route.repeatable, route.lane, max_age)

"""Finds errors and contradictions in a configuration before it is sent."""

import math
from collections.abc import Iterable, Iterator
from datetime import timedelta

from .configuration_draft import ConfigurationDraft
from .connection_share import (
    FAILOVER_RESERVE_CONNECTIONS,
    LEADER_CHECK_CONNECTIONS,
    MIN_SHARE_CONNECTIONS,
)
from .finding import Finding
from .organisation import LOWEST_PRIORITY, Organisation
from .organisation_draft import OrganisationDraft
from .route import ReadPolicy, Route
from .route_table import ServiceLimits
from .severity import Severity

# With fewer, one holder alone exceeds the limit during a failover.
LEAST_CONNECTIONS = (
    FAILOVER_RESERVE_CONNECTIONS + LEADER_CHECK_CONNECTIONS + MIN_SHARE_CONNECTIONS
)
_MILLISECOND = timedelta(milliseconds=1)
_ONE_OPERATION_COUNT = 1


def check_configuration(
    draft: ConfigurationDraft, version_in_force: int | None = None
) -> list[Finding]:
    """Return errors and warnings about a configuration, the errors first.

    What one entry says about another is checked only if all entries can be decoded.

    Parameters
    ----------
    draft : ConfigurationDraft
        The configuration.
    version_in_force : int or None
        Version that it is to replace; None if that is not known.
    """
    findings = [
        *draft.faults,
        *_check_version(draft.version, version_in_force),
        *_check_names(draft),
        *_check_keys(draft.organisations or []),
        *([] if draft.faults else _check_references(draft)),
        *_check_routes(draft),
        *_check_services(draft.services),
        *_check_organisations(draft.organisations or []),
    ]
    return sorted(findings, key=lambda finding: finding.severity)


def _check_version(version: int | None, in_force: int | None) -> Iterator[Finding]:
    if version is None or in_force is None or version > in_force:
        return
    detail = f"{version} is not higher than {in_force}, which is in force"
    yield _error("version-not-higher", "version", detail)


def _check_names(draft: ConfigurationDraft) -> Iterator[Finding]:
    services = [name for name, _ in draft.services]
    organisations = [each.organisation.name for each in draft.organisations or []]
    for kind, names in (("service", services), ("organisation", organisations)):
        for name in _find_repeated(names):
            count = names.count(name)
            detail = f"is listed {count} times"
            yield _error("duplicate-name", f"{kind} {name!r}", detail)


def _check_keys(organisations: list[OrganisationDraft]) -> Iterator[Finding]:
    """Find keys that occur twice; they are named by organisation and position."""
    first: dict[bytes, tuple[str, str]] = {}
    for draft in organisations:
        name = draft.organisation.name
        for position, digest in draft.key_digests.items():
            other, other_position = first.setdefault(digest, (name, position))
            if other != name:
                detail = f"{position} is also {other_position} of {other!r}"
                yield _error("shared-key", _name_organisation(name), detail)
            elif other_position != position:
                detail = f"{position} is the same as {other_position}"
                yield _warning("repeated-key", _name_organisation(name), detail)


def _check_references(draft: ConfigurationDraft) -> Iterator[Finding]:
    """Find routes that lead nowhere, and entries that can never match."""
    services = dict(draft.services)
    for route in draft.routes:
        if route.service not in services:
            detail = f"leads to service {route.service!r}, which is not configured"
            yield _error("unknown-service", _name_route(route), detail)
    databases = [route.database for route in draft.routes]
    for database in _find_repeated(databases):
        count = databases.count(database)
        detail = f"{count} routes have this database name; only the last is in force"
        yield _warning("route-never-matches", f"route {database!r}", detail)
    in_force = {route.database: route for route in draft.routes}.values()
    used = {route.service for route in in_force}
    for name in services:
        if name not in used:
            detail = "no route in force leads to it"
            yield _warning("service-unused", f"service {name!r}", detail)
    if draft.organisations is None:
        return
    for each in draft.organisations:
        if not each.key_digests:
            subject = _name_organisation(each.organisation.name)
            yield _warning("organisation-without-keys", subject, "no caller can be it")
    if in_force and draft.organisations and all(route.is_open for route in in_force):
        detail = "all routes are open: a caller without a key is of no organisation"
        yield _warning("organisations-not-needed", "organisations", detail)
    if not draft.organisations:
        for route in in_force:
            if not route.is_open:
                detail = "needs a key, but no organisation is listed"
                yield _warning("route-without-callers", _name_route(route), detail)


def _check_routes(draft: ConfigurationDraft) -> Iterator[Finding]:
    for route in draft.routes:
        subject = _name_route(route)
        if route.timeout <= timedelta(0):
            detail = f"the timeout is {_to_text(route.timeout)}: nothing is ever served"
            yield _warning("timeout-not-positive", subject, detail)
        elif route.timeout < route.objective:
            detail = (
                f"the timeout, {_to_text(route.timeout)}, is below the latency "
                f"objective, {_to_text(route.objective)}"
            )
            yield _warning("timeout-below-objective", subject, detail)
        if route.policy is ReadPolicy.BOUNDED and route.max_age <= timedelta(0):
            detail = "a bounded route with maximum age 0 allows replicas no delay"
            yield _warning("maximum-age-zero", subject, detail)
        if route.policy is ReadPolicy.CURRENT and route.max_age > timedelta(0):
            detail = f"the maximum age, {_to_text(route.max_age)}, has no effect"
            yield _warning("maximum-age-without-effect", subject, detail)
        if route.priority < 0:
            detail = f"the priority is {route.priority}, but 0 is the highest"
            yield _warning("priority-out-of-range", subject, detail)
    idle_limit = draft.transaction_idle_limit
    if idle_limit is None or not draft.routes:
        return
    longest = max(draft.routes, key=lambda route: route.timeout)
    if idle_limit < longest.timeout:
        detail = (
            f"{_to_text(idle_limit)} is below the timeout of {_name_route(longest)}, "
            f"{_to_text(longest.timeout)}"
        )
        subject = "idle limit of transactions"
        yield _warning("idle-limit-below-timeout", subject, detail)


def _check_services(services: list[tuple[str, ServiceLimits]]) -> Iterator[Finding]:
    for name, limits in services:
        if limits.connection_limit < LEAST_CONNECTIONS:
            detail = (
                f"the connection limit is {limits.connection_limit}; one holder needs "
                f"{LEAST_CONNECTIONS}"
            )
            yield _warning("connection-limit-too-low", f"service {name!r}", detail)


def _check_organisations(organisations: list[OrganisationDraft]) -> Iterator[Finding]:
    for draft in organisations:
        organisation = draft.organisation
        subject = _name_organisation(organisation.name)
        if draft.key_digests:
            yield from _check_rate(organisation, subject)
        if not 0 <= organisation.priority <= LOWEST_PRIORITY:
            detail = (
                f"the priority is {organisation.priority}; only 0 to {LOWEST_PRIORITY} "
                "are weighed differently"
            )
            yield _warning("priority-out-of-range", subject, detail)


def _check_rate(organisation: Organisation, subject: str) -> Iterator[Finding]:
    rate, burst = organisation.rate_per_s, organisation.burst
    if math.isinf(rate):
        if not math.isinf(burst):
            detail = f"the burst, {burst:g}, has no effect without a rate"
            yield _warning("burst-without-rate", subject, detail)
        return
    if rate == 0:
        detail = "has keys, but its rate is 0: no operations accrue"
        yield _warning("rate-zero", subject, detail)
    if burst < _ONE_OPERATION_COUNT:
        detail = (
            f"the burst, {burst:g}, is less than one operation: nothing is served but "
            "what the allowance of the instances' settings admits"
        )
        yield _warning("burst-below-one", subject, detail)


def _find_repeated(names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    repeated: dict[str, None] = {}
    for name in names:
        if name in seen:
            repeated[name] = None
        seen.add(name)
    return list(repeated)


def _name_route(route: Route) -> str:
    return f"route {route.database!r}"


def _name_organisation(name: str) -> str:
    return f"organisation {name!r}"


def _to_text(duration: timedelta) -> str:
    return f"{duration / _MILLISECOND:.12g} ms"


def _error(code: str, subject: str, detail: str) -> Finding:
    return Finding(Severity.ERROR, code, subject, detail)


def _warning(code: str, subject: str, detail: str) -> Finding:
    return Finding(Severity.WARNING, code, subject, detail)

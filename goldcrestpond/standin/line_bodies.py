"""Rows that the operator and the databases write to the platform's store."""

from ..settings.address import Address
from .line_group import LineDatabase

# Error codes that promise a caller that its request has had no effect.
NOT_EXECUTED_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
)
# Database names that callers may request, with the type of their route.
ROUTE_KINDS = {
    "current": "primary",
    "aged": "bounded_staleness",
    "own": "read_your_writes",
}


def make_configuration_body(
    version: int,
    service: str,
    connection_limit: int,
    max_age_ms: dict[str, int],
    timeout_ms: int,
    names: tuple[str, ...] = tuple(ROUTE_KINDS),
    objective_ms: int = 200,
    organisations: list[dict] | None = None,
    open_names: tuple[str, ...] = (),
    suffix: str = "",
) -> dict:
    """Return a version of the configuration with one route for each name.

    Parameters
    ----------
    version : int
        Version of the configuration.
    service : str
        Service of all routes.
    connection_limit : int
        Maximum number of connections of one database.
    max_age_ms : dict of str to int
        Maximum staleness of reads, by database name; 0 for names that are missing.
    timeout_ms : int
        Timeout of one statement.
    names : tuple of str
        Database names that have a route.
    objective_ms : int
        Latency objective of an operation.
    organisations : list of dict or None
        Organisations with their keys, made by `make_organisation_body`; None for a
        configuration without organisations.
    open_names : tuple of str
        Database names whose routes need no key.
    suffix : str
        Appended to the names of routes and databases.
    """
    routes = [
        {
            "name": f"r-{name}{suffix}",
            "database": f"{name}{suffix}",
            "prefix": "/",
            "routeType": ROUTE_KINDS[name],
            "maxStalenessMs": max_age_ms.get(name, 0),
            "timeoutMs": timeout_ms,
            "targetLatencyMs": objective_ms,
            "priority": 1,
            "serviceName": service,
            "attempts": 2,
            **({"noAuth": True} if name in open_names else {}),
        }
        for name in names
    ]
    tenants = {}
    if organisations is not None:
        tenants["tenants"] = make_table_body(organisations)
    return {
        "configVersion": version,
        "routes": make_table_body(routes),
        "services": make_table_body(
            [{"name": service, "maxConns": connection_limit, "syncReplicas": 1}]
        ),
        "limits": {"txnIdleMs": 3000},
        **tenants,
    }


def merge_configuration_bodies(bodies: list[dict]) -> dict:
    """Return the first configuration with the routes and services of all."""
    merged = dict(bodies[0])
    for name in ("routes", "services"):
        rows = [row for body in bodies for row in body[name]["rows"]]
        merged[name] = {**merged[name], "rows": rows}
    return merged


def make_organisation_body(name: str, keys: list[str], **more: object) -> dict:
    """Return an organisation of a configuration; ``more`` are further fields."""
    return {"name": name, "apiKeys": keys, **more}


def make_table_body(records: list[dict]) -> dict:
    """Return records as columns and rows; fields that a record lacks are null."""
    columns = list(dict.fromkeys(name for record in records for name in record))
    rows = [[record.get(name) for name in columns] for record in records]
    return {"columns": columns, "rows": rows}


def make_registry_entry(
    service: str,
    database: LineDatabase,
    address: Address,
    availability_zone: str,
) -> dict:
    """Return the registry entry of a database."""
    return {
        "serviceName": service,
        "address": str(address),
        "zone": availability_zone,
        "configVersion": "v1",
        "slots": 5,
        "state": "draining" if database.is_draining else "ready",
        "warmupLeftMs": 0,
        "dbRole": str(database.role),
        "born": database.born_ms,
        "sequence": database.sequence,
    }

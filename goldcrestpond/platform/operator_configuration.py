"""Decodes the operator's configuration into routes.

Lists are encoded as tables of columns and rows (``deploy/wire.toml``), which takes at
most half the bytes of objects. A large configuration could otherwise saturate the
network link of a small machine and delay callers.
"""

from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from ..serving.route import ReadPolicy, Route
from ..serving.route_table import RouteTable, ServiceLimits

TABLE = "op"
KEY = "config"
_POLICIES = {
    "primary": ReadPolicy.CURRENT,
    "bounded_staleness": ReadPolicy.BOUNDED,
    "read_your_writes": ReadPolicy.OWN_WRITES,
}


class _RouteBody(msgspec.Struct, rename="camel"):
    database: str
    service_name: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 1
    max_staleness_ms: float = 0


class _ServiceBody(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int
    sync_replicas: int = 0


class _LimitsBody(msgspec.Struct, rename="camel", frozen=True):
    txn_idle_ms: float = 10000


class _TableBody(msgspec.Struct):
    columns: list[str]
    rows: list[list[Any]]


class _ConfigurationBody(msgspec.Struct, rename="camel"):
    config_version: int
    routes: _TableBody
    services: _TableBody
    limits: _LimitsBody = _LimitsBody()


_DECODER = msgspec.json.Decoder(_ConfigurationBody)
_Record = TypeVar("_Record")


class _VersionBody(msgspec.Struct, rename="camel"):
    config_version: int


def is_older(known: bytes, value: bytes) -> bool:
    """Return whether a value contains an older version than the known one.

    One that cannot be decoded is not older: it is reported when it is applied.
    """
    try:
        versions = [
            msgspec.json.decode(each, type=_VersionBody).config_version
            for each in (known, value)
        ]
    except DECODE_ERRORS:
        return False
    return versions[1] < versions[0]


def decode_configuration(value: bytes) -> RouteTable:
    """Decode one version of the configuration.

    Raises
    ------
    DECODE_ERRORS, KeyError
        If any part of it is not valid; the version must not be used then.
    """
    body = _DECODER.decode(value)
    routes = _decode_records(body.routes, _RouteBody)
    services = _decode_records(body.services, _ServiceBody)
    return RouteTable(
        body.config_version,
        {route.database: _to_route(route) for route in routes},
        {s.name: ServiceLimits(s.max_conns, s.sync_replicas) for s in services},
        timedelta(milliseconds=body.limits.txn_idle_ms),
    )


def _decode_records(table: _TableBody, record_type: type[_Record]) -> list[_Record]:
    """Return a record for each row; null values take the field's default."""
    names, records = table.columns, []
    for row in table.rows:
        if len(row) != len(names):
            detail = f"{len(row)} values for {len(names)} columns"
            raise msgspec.ValidationError(detail)
        pairs = zip(names, row, strict=True)
        fields = {name: value for name, value in pairs if value is not None}
        records.append(msgspec.convert(fields, record_type))
    return records


def _to_route(body: _RouteBody) -> Route:
    return Route(
        body.database,
        body.service_name,
        _POLICIES[body.route_type],
        timedelta(milliseconds=body.max_staleness_ms),
        timedelta(milliseconds=body.timeout_ms),
        timedelta(milliseconds=body.target_latency_ms),
        body.priority,
    )

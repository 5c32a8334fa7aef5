"""Decodes the operator's configuration into routes."""

from datetime import timedelta

import msgspec

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


class _ConfigurationBody(msgspec.Struct, rename="camel"):
    config_version: int
    routes: list[_RouteBody]
    services: list[_ServiceBody]
    limits: _LimitsBody = _LimitsBody()


_DECODER = msgspec.json.Decoder(_ConfigurationBody)


def decode_configuration(value: bytes) -> RouteTable:
    """Decode one version.

    Raises
    ------
    msgspec.MsgspecError, KeyError
        If it cannot be read; nothing of it is to be used then.
    """
    body = _DECODER.decode(value)
    return RouteTable(
        body.config_version,
        {route.database: _to_route(route) for route in body.routes},
        {s.name: ServiceLimits(s.max_conns, s.sync_replicas) for s in body.services},
        timedelta(milliseconds=body.limits.txn_idle_ms),
    )


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

"""Decodes the operator's configuration into routes and organisations.

Lists are encoded as tables of columns and rows (``deploy/wire.toml``), which takes at
most half the bytes of objects. A large configuration could otherwise saturate the
network link of a small machine and delay callers.

The operator's value contains the organisations' keys. An instance that reads it from
the store replaces them by digests before it keeps the value or passes it on.
"""

from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from ..serving.organisation import Organisation
from ..serving.organisations import Organisations, digest_key
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
    no_auth: bool = False


class _OrganisationBody(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    key_digests: list[str] = []  # in hexadecimal, instead of the keys
    priority: int = 1
    rate_per_s: float = float("inf")
    burst: float | None = None


_ORGANISATION_COLUMNS = frozenset(
    field.encode_name for field in msgspec.structs.fields(_OrganisationBody)
)


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
    tenants: _TableBody | None = None


_DECODER = msgspec.json.Decoder(_ConfigurationBody)
_Record = TypeVar("_Record")
# Rates and bursts up to this many operations can be counted without an overflow.
RATE_MAX_COUNT = 1e9
_EMPTY_KEY_DIGEST = digest_key("")


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
        If any part of it is not valid, or the organisations can't be meant; the version
        must not be used then. No text of an error contains a key.
    """
    body = _DECODER.decode(value)
    routes = _decode_records(body.routes, _RouteBody)
    services = _decode_records(body.services, _ServiceBody)
    return RouteTable(
        body.config_version,
        {route.database: _to_route(route) for route in routes},
        {s.name: ServiceLimits(s.max_conns, s.sync_replicas) for s in services},
        timedelta(milliseconds=body.limits.txn_idle_ms),
        None if body.tenants is None else _decode_organisations(body.tenants),
    )


def replace_keys(value: bytes) -> bytes:
    """Return a version of the configuration with digests instead of keys.

    A value in which the keys can't be found is replaced by one that can't be decoded
    either, and that says no more than its version.
    """
    try:
        body = msgspec.json.decode(value)
    except DECODE_ERRORS:
        return b""
    if not isinstance(body, dict):
        return b""
    if body.get("tenants") is None:
        return value
    try:
        body["tenants"] = _replace_key_column(body["tenants"])
        return msgspec.json.encode(body)
    except (*DECODE_ERRORS, ValueError):
        return msgspec.json.encode({"configVersion": body.get("configVersion")})


def _replace_key_column(table: Any) -> dict:
    """Return the organisations with digests, without columns that are not known.

    Such a column may contain keys under a misspelt name.
    """
    columns, rows = _check_table(msgspec.convert(table, _TableBody))
    kept = [i for i, column in enumerate(columns) if column in _ORGANISATION_COLUMNS]
    columns = [columns[i] for i in kept]
    rows = [[row[i] for i in kept] for row in rows]
    if "apiKeys" not in columns:
        return {"columns": columns, "rows": rows}
    index = columns.index("apiKeys")
    for row in rows:
        keys = msgspec.convert(row[index], list[str] | None)
        row[index] = None if keys is None else [digest_key(key).hex() for key in keys]
    columns[index] = "keyDigests"
    return {"columns": columns, "rows": rows}


def _decode_organisations(table: _TableBody) -> Organisations:
    by_name: dict[str, Organisation] = {}
    by_key_digest: dict[bytes, Organisation] = {}
    for body in _decode_records(table, _OrganisationBody):
        organisation = _to_organisation(body)
        if organisation.name in by_name:
            raise _invalid(f"organisation {organisation.name!r} is listed twice")
        by_name[organisation.name] = organisation
        for digest in _decode_digests(body):
            other = by_key_digest.setdefault(digest, organisation)
            if other is not organisation:
                names = f"{other.name!r} and {organisation.name!r}"
                raise _invalid(f"organisations {names} have the same key")
    return Organisations(by_name, by_key_digest)


def _to_organisation(body: _OrganisationBody) -> Organisation:
    name = body.name
    if not name:
        raise _invalid("an organisation has an empty name")
    # The name is a field of a line to the databases.
    if not name.isprintable() or any(character.isspace() for character in name):
        raise _invalid(f"the organisation's name {name!r} does not fit a line")
    if body.rate_per_s < 0:
        raise _invalid(f"organisation {name!r} has a negative rate")
    burst = body.burst
    if burst is None:
        burst = 0.0 if body.rate_per_s < float("inf") else float("inf")
    if burst < 0:
        raise _invalid(f"organisation {name!r} has a negative burst")
    if any(RATE_MAX_COUNT < each < float("inf") for each in (body.rate_per_s, burst)):
        detail = f"organisation {name!r} has a rate or burst above {RATE_MAX_COUNT:.0f}"
        raise _invalid(detail)
    return Organisation(name, body.priority, body.rate_per_s, burst)


def _decode_digests(body: _OrganisationBody) -> list[bytes]:
    try:
        digests = [bytes.fromhex(digest) for digest in body.key_digests]
    except ValueError:
        # Without the cause, whose text might quote what stands for a key.
        detail = f"organisation {body.name!r} has an unreadable digest"
        raise _invalid(detail) from None
    digests += [digest_key(key) for key in body.api_keys]
    if _EMPTY_KEY_DIGEST in digests:
        raise _invalid(f"organisation {body.name!r} has an empty key")
    return digests


def _invalid(detail: str) -> msgspec.ValidationError:
    return msgspec.ValidationError(detail)


def _decode_records(table: _TableBody, record_type: type[_Record]) -> list[_Record]:
    """Return a record for each row; null values take the field's default."""
    names, rows = _check_table(table)
    records = []
    for row in rows:
        pairs = zip(names, row, strict=True)
        fields = {name: value for name, value in pairs if value is not None}
        records.append(msgspec.convert(fields, record_type))
    return records


def _check_table(table: _TableBody) -> tuple[list[str], list[list[Any]]]:
    """Return the columns and rows if each row has a value for each column."""
    if len(set(table.columns)) < len(table.columns):
        raise msgspec.ValidationError("a column is listed twice")
    for row in table.rows:
        if len(row) != len(table.columns):
            detail = f"{len(row)} values for {len(table.columns)} columns"
            raise msgspec.ValidationError(detail)
    return table.columns, table.rows


def _to_route(body: _RouteBody) -> Route:
    return Route(
        body.database,
        body.service_name,
        _POLICIES[body.route_type],
        timedelta(milliseconds=body.max_staleness_ms),
        timedelta(milliseconds=body.timeout_ms),
        timedelta(milliseconds=body.target_latency_ms),
        body.priority,
        body.no_auth,
    )

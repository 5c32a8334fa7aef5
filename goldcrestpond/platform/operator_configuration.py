"""Decodes the operator's configuration into routes and organisations.

Lists are encoded as tables of columns and rows (``deploy/wire.toml``), which takes at
most half the bytes of objects. A large configuration could otherwise saturate the
network link of a small machine and delay callers.

The operator's value contains the organisations' keys. An instance that reads it from
the store replaces them by digests before it keeps the value or passes it on.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from ..serving.configuration_draft import ConfigurationDraft
from ..serving.finding import Finding
from ..serving.organisation import Organisation
from ..serving.organisation_draft import OrganisationDraft
from ..serving.organisations import Organisations, digest_key
from ..serving.route import ReadPolicy, Route
from ..serving.route_table import RouteTable, ServiceLimits
from ..serving.severity import Severity

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
_TABLE_PARTS = ("routes", "services", "tenants")


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


def tabulate_lists(value: bytes) -> bytes:
    """Return a configuration whose lists of objects are tables of columns and rows.

    Nothing else is changed, and no value that cannot be decoded.
    """
    try:
        body = msgspec.json.decode(value, type=dict[str, Any])
    except DECODE_ERRORS:
        return value
    for part in _TABLE_PARTS:
        if isinstance(body.get(part), list):
            body[part] = _tabulate(body[part])
    return msgspec.json.encode(body)


def decode_draft(value: bytes) -> ConfigurationDraft:
    """Decode each entry of a configuration by itself, so that all faults are found.

    Parameters
    ----------
    value : bytes
        The configuration as the store contains it.

    Returns
    -------
    ConfigurationDraft
        Entries and faults. No text of a fault contains a key.
    """
    faults: list[Finding] = []
    try:
        body = msgspec.json.decode(value, type=dict[str, Any])
    except DECODE_ERRORS as error:
        return ConfigurationDraft(faults=[_to_fault("configuration", error)])
    version = _try_convert(body, _VersionBody, "version", faults)
    limits = _try_decode(
        lambda: _decode_idle_limit(body.get("limits", {})), "limits", faults
    )
    organisations = None
    if body.get("tenants") is not None:
        organisations = _draft_entries(body, "tenants", "organisation", faults)
    return ConfigurationDraft(
        None if version is None else version.config_version,
        _draft_entries(body, "routes", "route", faults),
        _draft_entries(body, "services", "service", faults),
        limits,
        organisations,
        faults,
    )


def _tabulate(records: list[Any]) -> Any:
    if not all(isinstance(record, dict) for record in records):
        return records
    columns = list(dict.fromkeys(name for record in records for name in record))
    rows = [[record.get(name) for name in columns] for record in records]
    return {"columns": columns, "rows": rows}


def _draft_entries(
    body: dict[str, Any], part: str, kind: str, faults: list[Finding]
) -> list[Any]:
    """Return the entries of one table that can be decoded."""
    if part not in body:
        faults.append(_make_fault(f"{kind}s", "missing"))
        return []
    table = _try_convert(body[part], _TableBody, f"{kind}s", faults)
    if table is None:
        return []
    if len(set(table.columns)) < len(table.columns):
        faults.append(_make_fault(f"{kind}s", "a column is listed twice"))
        return []
    drafts = []
    for number, row in enumerate(table.rows, 1):
        one = _TableBody(table.columns, [row])
        subject = f"{kind} in row {number}"
        make = _DRAFT_MAKERS[part]
        draft = _try_decode(
            lambda one=one, subject=subject, make=make: make(one, subject, faults),
            subject,
            faults,
        )
        if draft is not None:
            drafts.append(draft)
    return drafts


def _draft_route(table: _TableBody, subject: str, faults: list[Finding]) -> Route:
    (body,) = _decode_records(table, _RouteBody)
    if body.route_type not in _POLICIES:
        known = ", ".join(_POLICIES)
        raise _invalid(f"unknown route type {body.route_type!r}; known: {known}")
    return _to_route(body)


def _draft_service(
    table: _TableBody, subject: str, faults: list[Finding]
) -> tuple[str, ServiceLimits]:
    (body,) = _decode_records(table, _ServiceBody)
    return body.name, ServiceLimits(body.max_conns, body.sync_replicas)


def _draft_organisation(
    table: _TableBody, subject: str, faults: list[Finding]
) -> OrganisationDraft:
    (body,) = _decode_records(table, _OrganisationBody)
    digests: dict[str, bytes] = {}
    for number, text in enumerate(body.key_digests, 1):
        try:
            digests[f"digest {number}"] = bytes.fromhex(text)
        except ValueError:
            # Without the cause, whose text might quote what stands for a key.
            detail = f"organisation {body.name!r}: digest {number} is unreadable"
            faults.append(_make_fault(subject, detail))
    for number, key in enumerate(body.api_keys, 1):
        digests[f"key {number}"] = digest_key(key)
    for position, digest in digests.items():
        if digest == _EMPTY_KEY_DIGEST:
            detail = f"organisation {body.name!r}: {position} is empty"
            faults.append(_make_fault(subject, detail))
    return OrganisationDraft(_to_organisation(body), digests)


_DRAFT_MAKERS: dict[str, Callable[[_TableBody, str, list[Finding]], Any]] = {
    "routes": _draft_route,
    "services": _draft_service,
    "tenants": _draft_organisation,
}


def _decode_idle_limit(limits: Any) -> timedelta:
    body = msgspec.convert(limits, _LimitsBody)
    return timedelta(milliseconds=body.txn_idle_ms)


def _try_convert(
    value: Any, record_type: type[_Record], subject: str, faults: list[Finding]
) -> _Record | None:
    return _try_decode(lambda: msgspec.convert(value, record_type), subject, faults)


def _try_decode(
    decode: Callable[[], _Record], subject: str, faults: list[Finding]
) -> _Record | None:
    """Return what is decoded; if it cannot be, record the fault and return None."""
    try:
        return decode()
    except DECODE_ERRORS as error:
        faults.append(_to_fault(subject, error))
        return None


def _to_fault(subject: str, error: Exception) -> Finding:
    return _make_fault(subject, str(error))


def _make_fault(subject: str, detail: str) -> Finding:
    return Finding(Severity.ERROR, "unreadable", subject, detail)


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

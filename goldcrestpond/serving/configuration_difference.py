"""Compares a configuration with the version in force."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import fields
from datetime import timedelta
from enum import Enum
from typing import Any

from .finding import Finding
from .organisation import Organisation
from .route_table import RouteTable
from .severity import Severity

_MILLISECOND = timedelta(milliseconds=1)


def find_differences(old: RouteTable, new: RouteTable) -> list[Finding]:
    """Return which callers lose access, and then every difference.

    Keys are told by organisation and number only.

    Parameters
    ----------
    old : RouteTable
        Version in force.
    new : RouteTable
        Version that is to replace it.
    """
    return [
        *_find_lost_access(old, new),
        *_compare_values("version", old.version, new.version),
        *_compare_values(
            "idle limit of transactions",
            old.transaction_idle_limit,
            new.transaction_idle_limit,
        ),
        *_compare_entries("route", old.routes, new.routes),
        *_compare_entries("service", old.services, new.services),
        *_compare_values("keys", _name_need(old), _name_need(new)),
        *_compare_entries("organisation", _organisations(old), _organisations(new)),
        *_compare_keys(_owners(old), _owners(new)),
    ]


def _find_lost_access(old: RouteTable, new: RouteTable) -> Iterator[Finding]:
    for database in old.routes:
        if database not in new.routes:
            detail = "its callers lose access: the route is removed"
            yield _lost(f"route {database!r}", detail)
        elif _needs_key(new, database) and not _needs_key(old, database):
            detail = "callers without a key of an organisation lose access"
            yield _lost(f"route {database!r}", detail)
    if not any(_needs_key(new, database) for database in new.routes):
        return
    old_owners, new_owners = _owners(old), _owners(new)
    lost = Counter(
        name for digest, name in old_owners.items() if digest not in new_owners
    )
    for name, count in sorted(lost.items()):
        detail = f"callers with {_count_keys(count)} lose access: withdrawn"
        yield _lost(f"organisation {name!r}", detail)


def _needs_key(table: RouteTable, database: str) -> bool:
    return table.organisations is not None and not table.routes[database].is_open


def _compare_entries(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Finding]:
    for name in sorted(old.keys() | new.keys()):
        subject = f"{kind} {name!r}"
        if name not in new:
            yield _differs("removed", subject, _describe(old[name]))
        elif name not in old:
            yield _differs("added", subject, _describe(new[name]))
        else:
            for field in fields(old[name]):
                values = (getattr(each[name], field.name) for each in (old, new))
                yield from _compare_values(subject, *values, label=_label(field.name))


def _compare_values(
    subject: str, old: Any, new: Any, label: str = ""
) -> Iterator[Finding]:
    if old != new:
        detail = f"{label} {_to_text(old)} -> {_to_text(new)}".strip()
        yield _differs("changed", subject, detail)


def _compare_keys(
    old: Mapping[bytes, str], new: Mapping[bytes, str]
) -> Iterator[Finding]:
    added = Counter(name for digest, name in new.items() if digest not in old)
    removed = Counter(name for digest, name in old.items() if digest not in new)
    moved = Counter(
        (name, new[digest])
        for digest, name in old.items()
        if new.get(digest, name) != name
    )
    for code, counts in (("keys-added", added), ("keys-removed", removed)):
        for name, count in sorted(counts.items()):
            yield _differs(code, f"organisation {name!r}", _count_keys(count))
    for (name, other), count in sorted(moved.items()):
        detail = f"{_count_keys(count)} -> organisation {other!r}"
        yield _differs("keys-moved", f"organisation {name!r}", detail)


def _organisations(table: RouteTable) -> Mapping[str, Organisation]:
    return {} if table.organisations is None else table.organisations.by_name


def _owners(table: RouteTable) -> dict[bytes, str]:
    """Return the organisation's name by the digest of each key."""
    if table.organisations is None:
        return {}
    by_key_digest = table.organisations.by_key_digest
    return {digest: each.name for digest, each in by_key_digest.items()}


def _name_need(table: RouteTable) -> str:
    if table.organisations is None:
        return "needed by no route"
    return "needed by routes that are not open"


def _describe(entry: Any) -> str:
    """Return the fields of an entry but its name, which the subject tells."""
    texts = [
        f"{_label(field.name)} {_to_text(getattr(entry, field.name))}"
        for field in fields(entry)
        if field.name not in ("database", "name")
    ]
    return ", ".join(texts)


def _label(field_name: str) -> str:
    return field_name.removeprefix("is_").replace("_per_s", " per s").replace("_", " ")


def _to_text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, timedelta):
        return f"{value / _MILLISECOND:.12g} ms"
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, float):
        return "unlimited" if math.isinf(value) else f"{value:.12g}"
    return str(value)


def _count_keys(count: int) -> str:
    return "1 key" if count == 1 else f"{count} keys"


def _differs(code: str, subject: str, detail: str) -> Finding:
    return Finding(Severity.DIFFERENCE, code, subject, detail)


def _lost(subject: str, detail: str) -> Finding:
    return Finding(Severity.WARNING, "access-lost", subject, detail)

"""Prints resources as a table of text."""

from typing import Any

_HEADINGS = ("KIND", "NAME", "GENERATION", "VERSION", "IN FORCE", "SPEC")
_GAP = "  "
_SPEC_WIDTH = 60


def render_resources(resources: list[dict[str, Any]]) -> str:
    """Return a table with one line per resource."""
    rows = [_HEADINGS, *(_row(resource) for resource in resources)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [_join(row, widths) for row in rows]
    return "\n".join(lines)


def _row(resource: dict[str, Any]) -> tuple[str, ...]:
    status = resource["status"]
    return (
        resource["kind"],
        resource["name"],
        str(resource["generation"]),
        str(resource["resourceVersion"]),
        f"{status['in_force_instances']}/{status['live_instances']}",
        _shorten(_spec_text(resource["spec"])),
    )


def _spec_text(spec: dict[str, Any]) -> str:
    fields = [(name, value) for name, value in spec.items() if value not in ("", [])]
    return " ".join(f"{name}={_value_text(value)}" for name, value in fields)


def _value_text(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_value_text(item) for item in value)
    if isinstance(value, dict):
        return f"{value['name']}@{value['address']}"
    return str(value)


def _shorten(text: str) -> str:
    return text if len(text) <= _SPEC_WIDTH else text[: _SPEC_WIDTH - 3] + "..."


def _join(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return _GAP.join(cells).rstrip()

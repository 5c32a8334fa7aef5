"""Renders resources as a text table."""

from typing import Any

_HEADINGS = ("KIND", "NAME", "GENERATION", "VERSION", "IN FORCE", "SPEC")
_COLUMN_GAP = "  "
_SPEC_CHARACTERS = 60


def render_resources(resources: list[dict[str, Any]]) -> str:
    """Return a table with one line per resource."""
    rows = [_HEADINGS, *(_make_row(resource) for resource in resources)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [_join_cells(row, widths) for row in rows]
    return "\n".join(lines)


def _make_row(resource: dict[str, Any]) -> tuple[str, ...]:
    status = resource["status"]
    return (
        resource["kind"],
        resource["name"],
        str(resource["generation"]),
        str(resource["resourceVersion"]),
        f"{status['in_force_instances']}/{status['live_instances']}",
        _truncate(_render_spec(resource["spec"])),
    )


def _render_spec(spec: dict[str, Any]) -> str:
    fields = [(name, value) for name, value in spec.items() if value not in ("", [])]
    return " ".join(f"{name}={_render_value(value)}" for name, value in fields)


def _render_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_render_value(item) for item in value)
    if isinstance(value, dict):
        return f"{value['name']}@{value['address']}"
    return str(value)


def _truncate(text: str) -> str:
    return (
        text if len(text) <= _SPEC_CHARACTERS else text[: _SPEC_CHARACTERS - 3] + "..."
    )


def _join_cells(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return _COLUMN_GAP.join(cells).rstrip()

"""JSON merge patch (RFC 7396)."""

from typing import Any


def merge_patch(target: Any, patch: Any) -> Any:
    """Return ``target`` with the patch merged; null removes a field."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged

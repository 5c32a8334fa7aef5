"""The OpenAPI description of the resource API."""

from typing import Any

import msgspec

from ..configuration.kind import Kind
from ..configuration.resource import SPEC_TYPES
from .error_body import ErrorBody
from .list_body import ListBody
from .resource_body import ResourceBody
from .watch_line import WatchLine

_JSON = "application/json"
_REF = "#/components/schemas/{name}"


def describe_api() -> dict[str, Any]:
    """Return the OpenAPI document."""
    paths: dict[str, Any] = {}
    for kind in Kind:
        paths[f"/v1/{kind}"] = _describe_collection(kind)
        paths[f"/v1/{kind}/{{name}}"] = _describe_item(kind)
    paths["/v1/in-force"] = {
        "get": {
            "summary": "Count live instances that have a revision in force",
            "parameters": [_describe_query("resourceVersion", "integer")],
            "responses": {"200": {"description": "The counts"}},
        }
    }
    return {
        "openapi": "3.1.0",
        "info": {"title": "goldcrestpond resources", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": _describe_schemas(),
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"bearer": []}],
    }


def _describe_schemas() -> dict[str, Any]:
    types = [*SPEC_TYPES.values(), ResourceBody, ListBody, WatchLine, ErrorBody]
    _, components = msgspec.json.schema_components(types, ref_template=_REF)
    for kind, spec_type in SPEC_TYPES.items():
        components[f"{kind}Change"] = _describe_change(kind, spec_type.__name__)
    return components


def _describe_change(kind: Kind, spec_name: str) -> dict[str, Any]:
    return {
        "type": "object",
        "required": ["spec"],
        "properties": {
            "kind": {"const": str(kind)},
            "name": {"type": "string"},
            "resourceVersion": {"type": "integer"},
            "spec": {"$ref": _REF.format(name=spec_name)},
        },
    }


def _describe_collection(kind: Kind) -> dict[str, Any]:
    listing = _describe_operation(f"List each {kind}", "ListBody")
    listing["parameters"] = [_describe_query("watch", "boolean")]
    listing["description"] = (
        "With watch=true, a stream of JSON lines (WatchLine) that goes on."
    )
    creation = _describe_change_operation(f"Create a {kind}", kind, "201")
    return {"get": listing, "post": creation}


def _describe_item(kind: Kind) -> dict[str, Any]:
    deletion = _describe_operation(f"Delete a {kind}", "ResourceBody")
    deletion["parameters"] = [
        _describe_query("resourceVersion", "integer"),
        _describe_key_header(),
    ]
    return {
        "parameters": [
            {
                "name": "name",
                "in": "path",
                "required": True,
                "schema": {"type": "string"},
            }
        ],
        "get": _describe_operation(f"Read a {kind}", "ResourceBody"),
        "put": _describe_change_operation(f"Replace a {kind}", kind, "200"),
        "patch": _describe_change_operation(f"Merge fields into a {kind}", kind, "200"),
        "delete": deletion,
    }


def _describe_change_operation(summary: str, kind: Kind, status: str) -> dict[str, Any]:
    operation = _describe_operation(summary, "ResourceBody", status)
    operation["parameters"] = [_describe_key_header()]
    operation["requestBody"] = {
        "required": True,
        "content": {_JSON: {"schema": {"$ref": _REF.format(name=f"{kind}Change")}}},
    }
    return operation


def _describe_operation(
    summary: str, schema: str, status: str = "200"
) -> dict[str, Any]:
    return {
        "summary": summary,
        "responses": {
            status: _describe_response("The result", schema),
            "default": _describe_response(
                "A refusal with its numbered code", "ErrorBody"
            ),
        },
    }


def _describe_response(description: str, schema: str) -> dict[str, Any]:
    reference = {"$ref": _REF.format(name=schema)}
    return {"description": description, "content": {_JSON: {"schema": reference}}}


def _describe_query(name: str, kind: str) -> dict[str, Any]:
    return {"name": name, "in": "query", "schema": {"type": kind}}


def _describe_key_header() -> dict[str, Any]:
    return {
        "name": "Idempotency-Key",
        "in": "header",
        "description": "Makes a lost answer askable: repeat the request with it.",
        "schema": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$"},
    }

"""HTTP application of the resource API."""

import random
import re
from collections.abc import AsyncIterator

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from ..configuration.change_action import ChangeAction
from ..configuration.change_error import ChangeError
from ..configuration.change_request import ChangeRequest
from ..configuration.check_spec import make_invalid_error
from ..configuration.fault import Fault
from ..configuration.kind import Kind
from ..configuration.resource import Resource
from ..configuration.revision_count import count_in_force
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..store.configuration_source import ConfigurationSource
from ..store.platform import Platform
from .authorization import check_bearer
from .change_body import parse_change
from .change_executor import ChangeExecutor
from .drain_progress_reader import DrainProgressReader
from .error_body import ErrorBody
from .list_body import ListBody
from .openapi import describe_api
from .resource_body import ResourceBody, make_resource_body
from .status_reader import ReadInForce, StatusReader
from .watch_state import WatchState

_BODY_LIMIT_BYTES = 1_000_000
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
# A watch sends a changed status at most this much later.
_WATCH_INTERVAL_S = 0.1


class ResourceApi:
    """Handles requests of operators on the resources in the platform's table.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    source : ConfigurationSource
        Configuration of this process, whose revision shows that the table changed.
    read_in_force : callable
        Returns the revisions in force on live instances.
    tokens : list of str
        Bearer tokens; if empty, only loopback clients are admitted.
    rng : random.Random
        Source of idempotency keys, seeded differently in each process.
    """

    __slots__ = (
        "_drain_progress",
        "_executor",
        "_read_in_force",
        "_source",
        "_status_reader",
        "_tokens",
    )

    def __init__(
        self,
        platform: Platform,
        source: ConfigurationSource,
        read_in_force: ReadInForce,
        tokens: list[str],
        rng: random.Random,
    ):
        self._source = source
        self._tokens = tokens
        self._read_in_force = read_in_force
        self._executor = ChangeExecutor(
            platform, rng, source.request_read, read_in_force
        )
        self._drain_progress = DrainProgressReader(platform)
        self._status_reader = StatusReader(
            self._executor.table, read_in_force, self._drain_progress.read
        )

    async def run(self) -> None:
        """Read the drain progress that instances report until cancelled."""
        await self._drain_progress.run()

    def make_application(self) -> Starlette:
        """Return the ASGI application."""
        collection, item = "/v1/{kind}", "/v1/{kind}/{name}"
        return Starlette(
            routes=[
                Route("/openapi.json", self._describe, methods=["GET"]),
                Route("/v1/in-force", self._count_in_force, methods=["GET"]),
                Route(collection, self._list, methods=["GET"]),
                Route(collection, self._create, methods=["POST"]),
                Route(item, self._read, methods=["GET"]),
                Route(item, self._replace, methods=["PUT"]),
                Route(item, self._patch, methods=["PATCH"]),
                Route(item, self._delete, methods=["DELETE"]),
            ],
            exception_handlers={
                CodedError: self._answer_error,
                HTTPException: _answer_unknown_path,
            },
        )

    async def _describe(self, request: Request) -> Response:
        return _make_json_response(describe_api())

    async def _count_in_force(self, request: Request) -> Response:
        check_bearer(request, self._tokens)
        version = _read_version(request) or 0
        counts = count_in_force(self._read_in_force(), version)
        names = ("in_force_instances", "live_instances")
        return _make_json_response(dict(zip(names, counts, strict=True)))

    async def _list(self, request: Request) -> Response:
        check_bearer(request, self._tokens)
        kind = _read_kind(request)
        await self._refresh()
        if request.query_params.get("watch", "") in ("true", "1"):
            lines = self._watch_lines(kind)
            return StreamingResponse(lines, media_type="application/jsonl")
        table = self._executor.table
        items = [self._make_body(resource) for resource in table.list_kind(kind)]
        reachable = self._status_reader.store_reachable
        return _make_json_response(ListBody(table.revision, reachable, items))

    async def _read(self, request: Request) -> Response:
        check_bearer(request, self._tokens)
        kind, name = _read_kind(request), request.path_params["name"]
        await self._refresh()
        resource = self._executor.table.find(kind, name)
        if resource is None:
            detail = f"there is no {kind} {name!r}"
            raise CodedError(ResultCode.RESOURCE_NOT_FOUND, detail)
        return _make_json_response(self._make_body(resource))

    async def _create(self, request: Request) -> Response:
        return await self._change(request, ChangeAction.CREATE)

    async def _replace(self, request: Request) -> Response:
        return await self._change(request, ChangeAction.REPLACE)

    async def _patch(self, request: Request) -> Response:
        return await self._change(request, ChangeAction.PATCH)

    async def _delete(self, request: Request) -> Response:
        return await self._change(request, ChangeAction.DELETE)

    async def _change(self, request: Request, action: ChangeAction) -> Response:
        check_bearer(request, self._tokens)
        key = _read_idempotency_key(request)
        change = await _read_change(request, action)
        outcome = await self._executor.execute(change, key)
        status = 201 if outcome.action is ChangeAction.CREATE else 200
        return _make_json_response(self._make_body(outcome.resource), status)

    async def _refresh(self) -> None:
        try:
            await self._executor.refresh()
        except CodedError:
            self._status_reader.store_reachable = False
            if self._executor.table.revision == 0:
                raise
        else:
            self._status_reader.store_reachable = True

    async def _watch_lines(self, kind: Kind) -> AsyncIterator[bytes]:
        state = WatchState(kind, self._executor.table, self._status_reader)
        encoder = msgspec.json.Encoder()
        while True:
            for line in state.collect_new_lines():
                yield encoder.encode(line) + b"\n"
            await anyio.sleep(_WATCH_INTERVAL_S)
            if self._source.current.revision > self._executor.table.revision:
                await self._refresh()

    def _make_body(self, resource: Resource) -> ResourceBody:
        return make_resource_body(resource, self._status_reader.read(resource))

    async def _answer_error(self, request: Request, error: Exception) -> Response:
        if not isinstance(error, CodedError):
            error = CodedError(ResultCode.INTERNAL)
        detail = error.detail or error.code.meaning
        body = ErrorBody(error.code.number, error.code.name, detail)
        if isinstance(error, ChangeError):
            body.faults = error.faults
            if error.current is not None:
                body.current = self._make_body(error.current)
        return _make_json_response(body, error.code.http_status)


async def _answer_unknown_path(request: Request, error: Exception) -> Response:
    status = error.status_code if isinstance(error, HTTPException) else 404
    code = ResultCode.RESOURCE_NOT_FOUND
    detail = f"{request.method} {request.url.path}: no such path or method"
    return _make_json_response(ErrorBody(code.number, code.name, detail), status)


async def _read_change(request: Request, action: ChangeAction) -> ChangeRequest:
    kind = _read_kind(request)
    name = request.path_params.get("name", "")
    if action is ChangeAction.DELETE:
        return ChangeRequest(action, kind, name, None, _read_version(request))
    return parse_change(action, kind, name, await _read_content(request))


async def _read_content(request: Request) -> bytes:
    content = bytearray()
    async for chunk in request.stream():
        content += chunk
        if len(content) > _BODY_LIMIT_BYTES:
            detail = f"the body exceeds {_BODY_LIMIT_BYTES} bytes"
            raise CodedError(ResultCode.FRAME_TOO_LARGE, detail)
    return bytes(content)


def _read_kind(request: Request) -> Kind:
    text = request.path_params["kind"]
    try:
        return Kind(text)
    except ValueError:
        known = ", ".join(Kind)
        detail = f"there is no kind {text!r}; the kinds are {known}"
        raise CodedError(ResultCode.RESOURCE_NOT_FOUND, detail) from None


def _read_version(request: Request) -> int | None:
    text = request.query_params.get("resourceVersion")
    if text is None:
        return None
    if not text.isdecimal():
        raise make_invalid_error(
            [Fault("resourceVersion", f"{text!r} is not a number")]
        )
    return int(text)


def _read_idempotency_key(request: Request) -> str:
    key = request.headers.get("Idempotency-Key", "")
    if key and not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise make_invalid_error(
            [Fault("Idempotency-Key", "not 1 to 128 characters of A-Z a-z 0-9 . _ -")]
        )
    return key


def _make_json_response(body: object, status_code: int = 200) -> Response:
    content = msgspec.json.encode(body)
    return Response(content, status_code, media_type="application/json")

"""Platform stand-in: table service, object store and instance list in memory."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..api.http_server import serve_http
from ..clock.clock import Clock
from ..settings.address import Address
from ..store.condition import Condition
from ..store.http_bodies import (
    BatchBody,
    ChangesBody,
    RevisionBody,
    RowBody,
    RowsBody,
)
from ..store.instance_entry import InstanceEntry
from ..store.platform_conflict import PlatformConflict
from ..store.write import Write
from .lagging_list import LaggingList
from .platform_counts import PlatformCounts
from .platform_faults import PlatformFaults
from .table import Table

_DEFAULT_ROW_LIMIT = "1000"
_Handler = Callable[[Request], Awaitable[Response]]


class PlatformStandin:
    """State and HTTP application of one platform stand-in.

    Parameters
    ----------
    clock : Clock
        Source of time for the lag of the instance list.
    instances : list of InstanceEntry
        The instance list at start.
    instances_lag : timedelta
        Time after which a change of the instance list becomes visible.

    Attributes
    ----------
    faults : PlatformFaults
        Active faults; may be assigned or changed at any time.
    counts : PlatformCounts
        Requests received so far.
    table : Table
        Rows of the table service.
    address : Address or None
        Address it listens on; None until it is served.
    """

    __slots__ = (
        "_clock",
        "_instances",
        "_objects",
        "address",
        "counts",
        "faults",
        "table",
    )

    def __init__(
        self,
        clock: Clock,
        instances: list[InstanceEntry],
        instances_lag: timedelta,
    ):
        self._clock = clock
        self._instances = LaggingList(instances, instances_lag)
        self._objects: dict[str, bytes] = {}
        self.faults = PlatformFaults()
        self.counts = PlatformCounts()
        self.table = Table()
        self.address: Address | None = None

    def set_instances(self, entries: list[InstanceEntry]) -> None:
        """Replace the instance list; it becomes visible after the lag."""
        self._instances.replace(entries, self._clock.now())

    def application(self) -> Starlette:
        """Return the ASGI application."""
        read, write = self._with_read_faults, self._with_write_faults
        return Starlette(
            routes=[
                Route("/table", read(self._changes), methods=["GET"]),
                Route("/table/{key:path}", read(self._read), methods=["GET"]),
                Route("/table/{key:path}", write(self._put), methods=["PUT"]),
                Route("/table/{key:path}", write(self._delete), methods=["DELETE"]),
                Route("/batch", write(self._batch), methods=["POST"]),
                Route("/objects/{name:path}", read(self._get_object), methods=["GET"]),
                Route("/objects/{name:path}", write(self._put_object), methods=["PUT"]),
                Route("/instances", read(self._list_instances), methods=["GET"]),
                Route("/standin/faults", self._set_faults, methods=["POST"]),
                Route("/standin/instances", self._post_instances, methods=["POST"]),
            ]
        )

    def _with_read_faults(self, handler: _Handler) -> _Handler:
        async def handle(request: Request) -> Response:
            self.counts.reads += 1
            fault = await self._apply_faults(request)
            return fault or await handler(request)

        return handle

    def _with_write_faults(self, handler: _Handler) -> _Handler:
        async def handle(request: Request) -> Response:
            self.counts.writes += 1
            await request.body()
            fault = await self._apply_faults(request)
            if fault is not None:
                return fault
            response = await handler(request)
            if self.faults.lose_next_answers > 0:
                self.faults.lose_next_answers -= 1
                await _wait_for_disconnect(request)
            return response

        return handle

    async def _apply_faults(self, request: Request) -> Response | None:
        if self.faults.silent:
            await _wait_for_disconnect(request)
            return Response(status_code=503)
        if self.faults.down:
            return Response(status_code=503)
        await anyio.sleep(self.faults.delay_ms / 1000)
        return None

    async def _read(self, request: Request) -> Response:
        row = self.table.read(request.path_params["key"])
        if row.value is None:
            return Response(status_code=404)
        response = _make_json_response(RowBody.from_row(row))
        response.headers["ETag"] = f'"{row.revision}"'
        return response

    async def _changes(self, request: Request) -> Response:
        query = request.query_params
        changes = self.table.changes(
            query.get("prefix", ""),
            int(query.get("after", "0")),
            int(query.get("limit", _DEFAULT_ROW_LIMIT)),
        )
        rows = [RowBody.from_row(row) for row in changes.rows]
        return _make_json_response(ChangesBody(changes.revision, rows))

    async def _put(self, request: Request) -> Response:
        return self._write_row(request, await request.body())

    async def _delete(self, request: Request) -> Response:
        return self._write_row(request, None)

    def _write_row(self, request: Request, value: bytes | None) -> Response:
        revision = _expected_revision(request)
        if revision is None:
            return Response(status_code=428)
        key = request.path_params["key"]
        try:
            new_revision = self.table.batch(
                [Condition(key, revision)], [Write(key, value)]
            )
        except PlatformConflict as conflict:
            row = conflict.rows[0]
            current = None if row.value is None else RowBody.from_row(row)
            return _make_json_response(current, 412)
        return _make_json_response(RevisionBody(new_revision))

    async def _batch(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=BatchBody)
        writes = [_make_write(write.key, bytes(write.value)) for write in body.writes]
        try:
            new_revision = self.table.batch(body.conditions, writes)
        except PlatformConflict as conflict:
            rows = [RowBody.from_row(row) for row in conflict.rows]
            return _make_json_response(RowsBody(rows), 412)
        return _make_json_response(RevisionBody(new_revision))

    async def _get_object(self, request: Request) -> Response:
        body = self._objects.get(request.path_params["name"])
        return Response(status_code=404) if body is None else Response(body)

    async def _put_object(self, request: Request) -> Response:
        self._objects[request.path_params["name"]] = await request.body()
        return _make_json_response({})

    async def _list_instances(self, request: Request) -> Response:
        return _make_json_response(self._instances.read(self._clock.now()))

    async def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.body(), type=PlatformFaults)
        return _make_json_response(self.faults)

    async def _post_instances(self, request: Request) -> Response:
        body = await request.body()
        self.set_instances(msgspec.json.decode(body, type=list[InstanceEntry]))
        return _make_json_response({})


@asynccontextmanager
async def run_platform(
    address: Address,
    clock: Clock,
    instances: Sequence[InstanceEntry] = (),
    instances_lag: timedelta = timedelta(0),
) -> AsyncIterator[PlatformStandin]:
    """Serve a platform stand-in until the context ends.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 lets the operating system choose.
    clock : Clock
        Source of time for the lag of the instance list.
    instances : sequence of InstanceEntry, default=()
        The instance list at start.
    instances_lag : timedelta, default=0
        Time after which a change of the instance list becomes visible.

    Yields
    ------
    PlatformStandin
        The stand-in, with its ``address`` set.
    """
    standin = PlatformStandin(clock, list(instances), instances_lag)
    async with serve_http(standin.application(), address) as bound_address:
        standin.address = bound_address
        yield standin


def _make_write(key: str, value: bytes) -> Write:
    return Write(key, None if value == b"null" else value)


def _expected_revision(request: Request) -> int | None:
    if request.headers.get("If-None-Match") == "*":
        return 0
    match = request.headers.get("If-Match", "").strip('"')
    return int(match) if match.isdigit() else None


def _make_json_response(body: object, status_code: int = 200) -> Response:
    content = msgspec.json.encode(body)
    return Response(content, status_code, media_type="application/json")


async def _wait_for_disconnect(request: Request) -> None:
    while not await request.is_disconnected():
        await anyio.sleep(0.05)

"""HTTP client of the platform, with conditional requests."""

import logging
from collections.abc import Sequence
from datetime import timedelta
from types import TracebackType
from typing import TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..settings.address import Address
from .changes import Changes
from .condition import Condition
from .http_bodies import (
    BatchBody,
    ChangesBody,
    RevisionBody,
    RowBody,
    RowsBody,
    WriteBody,
    embed_value,
)
from .instance_entry import InstanceEntry
from .platform_conflict import PlatformConflict
from .row import Row
from .write import Write

_T = TypeVar("_T")

# A change must be in force within twice this time.
DEFAULT_TIMEOUT = timedelta(seconds=1)
# Enough that some are free while requests to a store that does not answer hold others.
_MAX_CONNECTIONS = 64
_log = logging.getLogger("goldcrestpond.store")
_EXPECTED_STATUSES = frozenset({200, 404, 412})


class HttpPlatform:
    """Client of the platform with one pool of HTTP connections.

    Use it as an asynchronous context manager, which closes the connections.

    Parameters
    ----------
    address : Address
        Address of the platform.
    timeout : timedelta, default=1 s
        Time limit of a whole request, including connecting.
    """

    __slots__ = ("_client", "_timeout_s")

    def __init__(self, address: Address, timeout: timedelta = DEFAULT_TIMEOUT):
        self._timeout_s = timeout.total_seconds()
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=None,
            trust_env=False,
            limits=httpx.Limits(max_connections=_MAX_CONNECTIONS),
        )

    async def __aenter__(self) -> "HttpPlatform":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        with anyio.CancelScope(shield=True):
            await self._client.aclose()

    async def read(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none."""
        response = await self._request("GET", _table_path(key))
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return _decode(response, RowBody).to_row()

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write one row and return its new revision."""
        headers = _condition_headers(expected_revision)
        response = await self._request("PUT", _table_path(key), headers, value)
        return _decode_written_revision(response, key)

    async def delete(self, key: str, expected_revision: int) -> int:
        """Delete one row and return the revision of the deletion."""
        headers = _condition_headers(expected_revision)
        response = await self._request("DELETE", _table_path(key), headers)
        return _decode_written_revision(response, key)

    async def batch(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Write all rows or none; return the revision of the last write."""
        bodies = [WriteBody(write.key, embed_value(write.value)) for write in writes]
        content = msgspec.json.encode(BatchBody(list(conditions), bodies))
        response = await self._request("POST", "/batch", content=content)
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            conflicting = _decode(response, RowsBody).rows
            raise PlatformConflict([body.to_row() for body in conflicting])
        return _decode(response, RevisionBody).revision

    async def changes(self, prefix: str, after_revision: int, limit: int) -> Changes:
        """Return rows under a prefix that changed after a revision."""
        query = f"prefix={quote(prefix)}&after={after_revision}&limit={limit}"
        body = _decode(await self._request("GET", f"/table?{query}"), ChangesBody)
        rows = [row.to_row() for row in body.rows]
        return Changes(body.revision, rows, is_last=len(rows) < limit)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        response = await self._request("PUT", f"/objects/{quote(name)}", None, body)
        _require_ok(response)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""
        response = await self._request("GET", f"/objects/{quote(name)}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        _require_ok(response)
        return response.content

    async def instances(self) -> list[InstanceEntry]:
        """Return the readable entries of the list of instances, which lags behind."""
        response = await self._request("GET", "/instances")
        entries = []
        for entry in _decode(response, list[msgspec.Raw]):
            try:
                entries.append(msgspec.json.decode(entry, type=InstanceEntry))
            except DECODE_ERRORS as error:
                _log.warning("store: unreadable entry of an instance: %s", error)
        return entries

    async def _request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        content: bytes | None = None,
    ) -> httpx.Response:
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._client.request(
                    method, path, headers=headers, content=content
                )
        except (httpx.HTTPError, TimeoutError, OSError) as error:
            raise _unavailable(f"{method} {path}: {type(error).__name__}") from error
        if response.status_code not in _EXPECTED_STATUSES:
            raise _unavailable(f"{method} {path}: status {response.status_code}")
        return response


def _table_path(key: str) -> str:
    return f"/table/{quote(key)}"


def _condition_headers(expected_revision: int) -> dict[str, str]:
    if expected_revision == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_revision}"'}


def _decode_written_revision(response: httpx.Response, key: str) -> int:
    if response.status_code == httpx.codes.PRECONDITION_FAILED:
        current = _decode(response, RowBody | None)
        row = Row(key, None, 0) if current is None else current.to_row()
        raise PlatformConflict([row])
    return _decode(response, RevisionBody).revision


def _decode(response: httpx.Response, kind: type[_T]) -> _T:
    _require_ok(response, httpx.codes.PRECONDITION_FAILED)
    try:
        return msgspec.json.decode(response.content, type=kind)
    except DECODE_ERRORS as error:
        raise _unavailable(f"cannot decode the answer: {error}") from error


def _require_ok(response: httpx.Response, *others: int) -> None:
    if response.status_code not in (httpx.codes.OK, *others):
        raise _unavailable(f"unexpected status {response.status_code}")


def _unavailable(detail: str) -> CodedError:
    return CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)

"""Client of the resource API."""

import json
import secrets
from collections.abc import AsyncIterator
from datetime import timedelta
from types import TracebackType
from typing import Any

import anyio
import httpx
import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

_RETRY_PAUSE_S = 0.2
_CODES = {code.number: code for code in ResultCode}
_RETRIED_CODES = frozenset(
    {ResultCode.PLATFORM_UNAVAILABLE, ResultCode.API_UNREACHABLE}
)


class ResourceClient:
    """Client that repeats requests while the API or the platform is unavailable.

    Each change has an idempotency key, so that it takes effect only once however
    often it is repeated. Use the client as an asynchronous context manager.

    Parameters
    ----------
    server : str
        URL of the API, for instance ``http://127.0.0.1:6480``.
    token : str
        Bearer token; empty for none.
    clock : Clock
        Source of monotonic time.
    max_wait : timedelta
        Longest time for one request, repetitions included.
    """

    __slots__ = ("_client", "_clock", "_max_wait")

    def __init__(self, server: str, token: str, clock: Clock, max_wait: timedelta):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.AsyncClient(
            base_url=server,
            headers=headers,
            timeout=max_wait.total_seconds(),
            trust_env=False,
        )
        self._clock = clock
        self._max_wait = max_wait

    async def __aenter__(self) -> "ResourceClient":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        with anyio.CancelScope(shield=True):
            await self._client.aclose()

    async def read(self, kind: str, name: str) -> dict[str, Any]:
        """Return a resource."""
        return await self._request("GET", f"/v1/{kind}/{name}")

    async def list(self, kind: str) -> list[dict[str, Any]]:
        """Return the resources of a kind."""
        return (await self._request("GET", f"/v1/{kind}"))["items"]

    async def create(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create a resource."""
        return await self._request("POST", f"/v1/{kind}", {"name": name, "spec": spec})

    async def replace(
        self, kind: str, name: str, spec: Any, resource_version: int
    ) -> dict[str, Any]:
        """Replace the spec of a resource with this version; version 0 creates it."""
        body = {"spec": spec, "resourceVersion": resource_version}
        return await self._request("PUT", f"/v1/{kind}/{name}", body)

    async def delete(self, kind: str, name: str) -> dict[str, Any]:
        """Delete a resource."""
        return await self._request("DELETE", f"/v1/{kind}/{name}")

    async def apply(
        self, kind: str, name: str, spec: Any, resource_version: int | None = None
    ) -> dict[str, Any]:
        """Create or replace a resource so that it has this spec.

        Without a version, the spec replaces that of a concurrent change by
        another operator.
        """
        if resource_version is not None:
            return await self.replace(kind, name, spec, resource_version)
        while True:
            version = await self._find_version(kind, name)
            try:
                return await self.replace(kind, name, spec, version)
            except CodedError as error:
                if error.code is not ResultCode.RESOURCE_CONFLICT:
                    raise

    async def watch(self, kind: str) -> AsyncIterator[dict[str, Any]]:
        """Yield the decoded lines of a watch until the server ends it."""
        try:
            async with self._client.stream(
                "GET", f"/v1/{kind}?watch=true", timeout=None
            ) as response:
                if response.status_code != httpx.codes.OK:
                    await response.aread()
                    raise _make_error(response)
                async for line in response.aiter_lines():
                    yield json.loads(line)
        except httpx.HTTPError as error:
            raise _make_unreachable_error(error) from error

    async def wait_until_in_force(
        self, kind: str, name: str, deadline: timedelta
    ) -> dict[str, Any]:
        """Wait until every live instance has a resource in force, and return it.

        Parameters
        ----------
        kind : str
            Kind of the resource.
        name : str
            Name of the resource.
        deadline : timedelta
            Monotonic time at which to stop waiting.

        Raises
        ------
        CodedError
            NOT_IN_FORCE at the deadline; RESOURCE_NOT_FOUND if the resource
            does not exist.
        """
        remaining = deadline - self._clock.now()
        last_seen = ""
        with anyio.move_on_after(max(0.0, remaining.total_seconds())):
            async for line in self.watch(kind):
                resource = line.get("object")
                if line["type"] == "put" and resource["name"] == name:
                    last_seen = _describe_in_force(resource)
                    if _is_in_force(resource):
                        return resource
                if line["type"] == "synced" and not last_seen:
                    raise CodedError(ResultCode.RESOURCE_NOT_FOUND, f"{kind} {name!r}")
        raise CodedError(ResultCode.NOT_IN_FORCE, f"{kind} {name!r}: {last_seen}")

    async def _find_version(self, kind: str, name: str) -> int:
        try:
            return (await self.read(kind, name))["resourceVersion"]
        except CodedError as error:
            if error.code is ResultCode.RESOURCE_NOT_FOUND:
                return 0
            raise

    async def _request(self, method: str, path: str, body: Any = None) -> Any:
        headers = {"Idempotency-Key": secrets.token_hex(16)}
        deadline = self._clock.now() + self._max_wait
        while True:
            try:
                return await self._request_once(method, path, headers, body)
            except CodedError as error:
                is_past_deadline = self._clock.now() >= deadline
                if error.code not in _RETRIED_CODES or is_past_deadline:
                    raise
            await anyio.sleep(_RETRY_PAUSE_S)

    async def _request_once(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> Any:
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = await self._client.request(
                method, path, headers=headers, content=content
            )
        except httpx.HTTPError as error:
            raise _make_unreachable_error(error) from error
        if response.is_success:
            return response.json()
        raise _make_error(response)


def _is_in_force(resource: dict[str, Any]) -> bool:
    conditions = resource["status"]["conditions"]
    return any(
        condition["type"] == "InForce" and condition["status"] == "True"
        for condition in conditions
    )


def _describe_in_force(resource: dict[str, Any]) -> str:
    status = resource["status"]
    counts = f"{status['in_force_instances']} of {status['live_instances']}"
    return f"in force on {counts} live instances"


def _make_error(response: httpx.Response) -> CodedError:
    try:
        body = response.json()
        return CodedError(_CODES[body["number"]], body["detail"])
    except (ValueError, KeyError, TypeError):
        detail = f"unexpected response with status {response.status_code}"
        return CodedError(ResultCode.API_UNREACHABLE, detail)


def _make_unreachable_error(error: httpx.HTTPError) -> CodedError:
    detail = f"{type(error).__name__}: {error}"
    return CodedError(ResultCode.API_UNREACHABLE, detail)

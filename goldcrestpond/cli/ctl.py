"""``goldcrestpond-ctl``: reads and changes resources for operators."""

import json
import os
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import anyio
import json5

from ..api.resource_client import ResourceClient
from ..clock.system_clock import SystemClock
from ..configuration.kind import Kind
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .resource_table_text import render_resources
from .run_program import run_commands

_CLOCK = SystemClock()
# Resources are applied before those that refer to them.
_APPLY_ORDER = [Kind.DATABASE_GROUP, Kind.READ_POLICY, Kind.ROUTE, Kind.DRAIN_ORDER]

_ClientCall = Callable[[ResourceClient], Awaitable[Any]]


class Ctl:
    """Reads and changes the resources of goldcrestpond.

    Commands: get KIND [NAME]; apply -f FILE; delete KIND NAME; watch KIND;
    drain GROUP DATABASE; wait KIND NAME --for in-force. Each has its own
    help, for instance ``goldcrestpond-ctl drain --help``.

    Kinds are Route, ReadPolicy, DrainOrder and DatabaseGroup. A change is
    retried with the same idempotency key until it is answered. A refusal is
    printed on standard error, and the exit status follows from its result code:
    20 for each hundred of the number plus its last two digits (docs/ERRORS.md).

    Parameters
    ----------
    server : str
        URL of the API; by default $GOLDCRESTPOND_SERVER or
        http://127.0.0.1:6480.
    token : str
        Bearer token; by default $GOLDCRESTPOND_TOKEN.
    output : str
        ``table`` or ``json``.
    timeout_ms : int
        Longest time for one request, retries included.
    """

    def __init__(
        self,
        *,
        server: str = "",
        token: str = "",
        output: str = "table",
        timeout_ms: int = 10000,
    ):
        default_server = os.environ.get("GOLDCRESTPOND_SERVER", "http://127.0.0.1:6480")
        self._server = server or default_server
        self._token = token or os.environ.get("GOLDCRESTPOND_TOKEN", "")
        self._output = output
        self._timeout = timedelta(milliseconds=timeout_ms)
        if output not in ("table", "json"):
            raise _make_invalid_error(f"output must be table or json, not {output!r}")

    def get(self, kind: str, name: str = "") -> None:
        """Print all resources of a kind, or one of them.

        Parameters
        ----------
        kind : str
            Route, ReadPolicy, DrainOrder or DatabaseGroup.
        name : str
            Name of one resource; all of the kind by default.
        """
        if name:
            self._print([self._run(lambda client: client.read(kind, name))])
        else:
            self._print(self._run(lambda client: client.list(kind)))

    def apply(self, file: str) -> None:
        """Create or replace the resources that a file describes.

        Parameters
        ----------
        file : str
            JSON with comments: an object with kind, name and spec, or a list
            of them. If an object has a resourceVersion, only that version is
            replaced.
        """
        resources = sorted(_load_resources(file), key=_apply_rank)
        self._print([self._run(_make_apply_call(resource)) for resource in resources])

    def delete(self, kind: str, name: str) -> None:
        """Delete a resource.

        Parameters
        ----------
        kind : str
            Route, ReadPolicy, DrainOrder or DatabaseGroup.
        name : str
            Name of the resource.
        """
        self._print([self._run(lambda client: client.delete(kind, name))])

    def watch(self, kind: str) -> None:
        """Print each change of a kind's resources or their status as a JSON line.

        Parameters
        ----------
        kind : str
            Route, ReadPolicy, DrainOrder or DatabaseGroup.
        """

        async def print_lines(client: ResourceClient) -> None:
            async for line in client.watch(kind):
                print(json.dumps(line), flush=True)

        self._run(print_lines)

    def drain(self, group: str, database: str, deadline_ms: int = 10000) -> None:
        """Create a drain order, so that a database receives no new work.

        The DrainOrder is named GROUP-DATABASE; delete it to end the drain.

        Parameters
        ----------
        group : str
            Name of the database group.
        database : str
            Name of the database within the group.
        deadline_ms : int
            Time after which connections with work in flight are closed.
        """
        spec = {"group": group, "database": database, "deadline_ms": deadline_ms}
        name = f"{group}-{database}"
        self._print([self._run(lambda client: client.apply("DrainOrder", name, spec))])

    def wait(self, kind: str, name: str, **condition: str) -> None:
        """Wait until a resource is in force on every live instance.

        Usage: goldcrestpond-ctl wait KIND NAME --for in-force

        Parameters
        ----------
        kind : str
            Route, ReadPolicy, DrainOrder or DatabaseGroup.
        name : str
            Name of the resource.
        condition : dict of str to str
            Only ``--for in-force`` is supported. Waits for at most --timeout_ms.
        """
        if condition != {"for": "in-force"}:
            raise _make_invalid_error("the only condition of wait is --for in-force")
        deadline = _CLOCK.now() + self._timeout
        self._print(
            [self._run(lambda client: client.wait_until_in_force(kind, name, deadline))]
        )

    def _run(self, call: _ClientCall) -> Any:
        async def main() -> Any:
            async with ResourceClient(
                self._server, self._token, _CLOCK, self._timeout
            ) as client:
                return await call(client)

        return anyio.run(main)

    def _print(self, resources: list[dict[str, Any]]) -> None:
        if self._output == "json":
            for resource in resources:
                print(json.dumps(resource))
        else:
            print(render_resources(resources))


def _load_resources(file: str) -> list[dict[str, Any]]:
    try:
        loaded = json5.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise _make_invalid_error(f"{file}: {error}") from error
    resources = loaded if isinstance(loaded, list) else [loaded]
    for resource in resources:
        if not isinstance(resource, dict) or not {"kind", "name"} <= resource.keys():
            raise _make_invalid_error(
                f"{file}: each resource needs kind, name and spec"
            )
    return resources


def _apply_rank(resource: dict[str, Any]) -> int:
    kind = resource["kind"]
    return _APPLY_ORDER.index(kind) if kind in _APPLY_ORDER else len(_APPLY_ORDER)


def _make_apply_call(resource: dict[str, Any]) -> _ClientCall:
    return lambda client: client.apply(
        resource["kind"],
        resource["name"],
        resource.get("spec"),
        resource.get("resourceVersion"),
    )


def _make_invalid_error(detail: str) -> CodedError:
    return CodedError(ResultCode.RESOURCE_INVALID, detail)


def main() -> None:
    """Run the command line."""
    run_commands(Ctl)

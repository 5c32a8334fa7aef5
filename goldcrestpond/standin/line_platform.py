"""Stand-in of the platform's row store and failover call, over HTTP."""

import base64
from collections.abc import Callable

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from .failover_orders import OK_STATUS, FailoverOrders

_FEED_POLL_INTERVAL_S = 0.01
# Tables of the operator and the databases, which write their rows again after a
# snapshot was restored.
REWRITTEN_TABLES = ("op", "servers")


class LinePlatform:
    """Store of versioned rows, all versions from one counter, and failover call.

    Parameters
    ----------
    clock : Clock or None
        Source of the time; None for the system's.

    Attributes
    ----------
    rows : dict
        Value and version by table, part and key; removed rows have the value None.
    is_down : bool
        Whether every call is answered with status 503.
    should_lose_answer : callable
        Called with the path of each write or failover that was carried out; if it
        returns True, the answer is status 500 nevertheless.
    failover : FailoverOrders
        Executes the failover calls.
    era : int
        Sent in the header ``Store-Era`` of the answers; increased each time a snapshot
        is restored.
    """

    def __init__(self, clock: Clock | None = None):
        self.rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self.is_down = False
        self.should_lose_answer: Callable[[str], bool] = lambda path: False
        self.failover = FailoverOrders(clock or SystemClock())
        self.first_version = 0
        self.era = 1
        self._snapshot: tuple[
            dict[tuple[str, str, str], tuple[str | None, int]], int
        ] = (
            {},
            0,
        )
        self._version = 0

    @property
    def promotions(self) -> list[tuple[str, str, int]]:
        """Service, database and fencing token of each failover call accepted."""
        accepted = (o for o in self.failover.orders if o.status == OK_STATUS)
        return [(o.service, o.database_id, o.token) for o in accepted]

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/-/rows-tx", self._transact, methods=["POST"]),
                Route("/-/rows-get", self._get),
                Route("/-/rows-feed", self._feed),
                Route("/failover", self._failover, methods=["POST"]),
            ]
        )

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row, as the operator or a database does; return its version."""
        self._version += 1
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        text = base64.b64encode(data).decode()
        self.rows[table, "", key] = (text, self._version)
        return self._version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self.rows[table, "", key] = (None, self._version)

    def discard_history(self) -> None:
        """Discard the history of changes, so that feeds must read all rows again."""
        self.first_version = self._version + 1

    def save_snapshot(self) -> None:
        """Save a snapshot of all rows."""
        self._snapshot = (dict(self.rows), self._version)

    def restore_snapshot(self) -> dict[tuple[str, str], bytes]:
        """Restore the last snapshot and begin the next era.

        Returns
        -------
        dict of tuple of str to bytes
            Value by table and key of the rows that the operator and the databases
            have written since the snapshot, for `put`.
        """
        replaced_rows = self.rows
        rows, self._version = self._snapshot
        self.rows = dict(rows)
        self.era += 1
        return {
            (table, key): base64.b64decode(value)
            for (table, part, key), (value, version) in replaced_rows.items()
            if table in REWRITTEN_TABLES and value is not None
            if self.rows.get((table, part, key), (None, 0))[0] != value
        }

    async def _transact(self, request: Request) -> Response:
        if self.is_down:
            return self._make_status_response(503)
        body = msgspec.json.decode(await request.body())
        failed = [c for c in body["precondition"] if self._find_version(c) != c["ver"]]
        if failed:
            rows = [self._make_row_body(*_get_row_key(c)) for c in body["precondition"]]
            return self._make_response({"rows": rows}, 412)
        self._version += 1
        for put in body["puts"]:
            self.rows[_get_row_key(put)] = (put["value"], self._version)
        for removal in body["remove"]:
            self.rows[_get_row_key(removal)] = (None, self._version)
        if self.should_lose_answer("/-/rows-tx"):
            return self._make_status_response(500)
        return self._make_response({})

    async def _get(self, request: Request) -> Response:
        if self.is_down:
            return self._make_status_response(503)
        query = request.query_params
        keys = sorted(
            key
            for key, (value, _) in self.rows.items()
            if key[:2] == (query["tableName"], query.get("part", ""))
            and value is not None
            and key[2] >= query.get("from", "")
        )
        limit = int(query.get("limit", "500"))
        rows = [self._make_row_body(*key) for key in keys[:limit]]
        return self._make_response({"rows": rows, "hasMore": len(keys) > limit})

    async def _feed(self, request: Request) -> Response:
        query = request.query_params
        after = int(query["after"])
        era = self.era
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while not self.is_down and self._has_history(after) and era == self.era:
                changed = self._find_changed_rows(query["tableName"], after)
                if changed:
                    return self._make_response({"rows": changed})
                await anyio.sleep(_FEED_POLL_INTERVAL_S)
        if self.is_down:
            return self._make_status_response(503)
        if not self._has_history(after):
            return self._make_status_response(410)
        # Changes since the last look: the answer names the newest version.
        changed = self._find_changed_rows(query["tableName"], after)
        return self._make_response({"rows": changed})

    async def _failover(self, request: Request) -> Response:
        if self.is_down:
            return Response(status_code=503)
        body = msgspec.json.decode(await request.body())
        holder = request.headers["X-Goldcrestpond-Duty-Holder"]
        token = int(request.headers["X-Goldcrestpond-Fencing-Token"])
        service, database_id = body["serviceName"], body["id"]
        status = self.failover.call(service, database_id, holder, token)
        if not status:
            await self._wait_disconnected(request)
        if not status or (status == OK_STATUS and self.should_lose_answer("/failover")):
            return Response(status_code=500)
        return Response(status_code=status)

    async def _wait_disconnected(self, request: Request) -> None:
        while not (self.is_down or await request.is_disconnected()):
            await anyio.sleep(_FEED_POLL_INTERVAL_S)

    def _has_history(self, after: int) -> bool:
        return self.first_version - 1 <= after <= self._version

    def _find_changed_rows(self, table: str, after: int) -> list[dict]:
        keys = [
            key
            for key, (_, version) in self.rows.items()
            if key[0] == table and version > after
        ]
        keys.sort(key=lambda key: self.rows[key][1])
        return [self._make_row_body(*key) for key in keys]

    def _find_version(self, condition: dict) -> int:
        value, version = self.rows.get(_get_row_key(condition), (None, 0))
        return 0 if value is None else version

    def _make_row_body(self, table: str, part: str, key: str) -> dict:
        value, version = self.rows.get((table, part, key), (None, 0))
        body = {"tableName": table, "part": part, "key": key, "ver": version}
        return {**body, **({"deleted": True} if value is None else {"value": value})}

    def _make_response(self, body: dict, status: int = 200) -> Response:
        full = {"rows": [], **body, "ver": self._version, "nowMs": 0}
        return Response(
            msgspec.json.encode(full),
            status,
            self._make_headers(),
            media_type="application/json",
        )

    def _make_status_response(self, status: int) -> Response:
        return Response(status_code=status, headers=self._make_headers())

    def _make_headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}


def _get_row_key(body: dict) -> tuple[str, str, str]:
    return body["tableName"], body.get("part", ""), body["key"]

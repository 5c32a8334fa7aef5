"""The platform's store and its failover call, by their published protocol."""

import base64
from collections.abc import Callable

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

_FEED_TICK_S = 0.01
# Tables of the operator and the databases: written again after a return.
WRITTEN_AGAIN = ("op", "servers")


class LinePlatform:
    """Rows in tables with versions from one counter.

    Attributes
    ----------
    rows : dict
        Rows by table, part and key; removed ones have the value None.
    is_down : bool
        Whether every call is refused with 503.
    should_lose_answer : callable
        Told the path of each call; True lets its answer be an error, though it
        was carried out.
    promotions : list of tuple
        Service, database and token of each order that was accepted.
    promote : callable
        Carries an order out.
    era : int
        Raised with each return from a copy; a header of all answers.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self.is_down = False
        self.should_lose_answer: Callable[[str], bool] = lambda path: False
        self.promotions: list[tuple[str, str, int]] = []
        self.promote: Callable[[str, str], None] = lambda service, database: None
        self.first_version = 0
        self.era = 1
        self._copy: tuple[dict[tuple[str, str, str], tuple[str | None, int]], int] = (
            {},
            0,
        )
        self._version = 0
        self._tokens: dict[str, int] = {}

    def application(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/-/rows-tx", self._transact, methods=["POST"]),
                Route("/-/rows-get", self._get),
                Route("/-/rows-feed", self._feed),
                Route("/failover", self._failover, methods=["POST"]),
            ]
        )

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a database does."""
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
        """Let every feed ask for all rows again."""
        self.first_version = self._version + 1

    def save_snapshot(self) -> None:
        """Keep all rows as they are now."""
        self._copy = (dict(self.rows), self._version)

    def restore_snapshot(self) -> dict[tuple[str, str], bytes]:
        """Go back to the last copy, in the next era.

        Returns
        -------
        dict of tuple of str to bytes
            Table, key and value of what the operator and the databases had written
            since, for `put`.
        """
        present = self.rows
        rows, self._version = self._copy
        self.rows = dict(rows)
        self.era += 1
        return {
            (table, key): base64.b64decode(value)
            for (table, part, key), (value, version) in present.items()
            if table in WRITTEN_AGAIN and value is not None
            if self.rows.get((table, part, key), (None, 0))[0] != value
        }

    async def _transact(self, request: Request) -> Response:
        if self.is_down:
            return self._status(503)
        body = msgspec.json.decode(await request.body())
        failed = [c for c in body["precondition"] if self._ver(c) != c["ver"]]
        if failed:
            rows = [self._body(*_key(c)) for c in body["precondition"]]
            return self._answer({"rows": rows}, 412)
        self._version += 1
        for put in body["puts"]:
            self.rows[_key(put)] = (put["value"], self._version)
        for removal in body["remove"]:
            self.rows[_key(removal)] = (None, self._version)
        if self.should_lose_answer("/-/rows-tx"):
            return self._status(500)
        return self._answer({})

    async def _get(self, request: Request) -> Response:
        if self.is_down:
            return self._status(503)
        query = request.query_params
        keys = sorted(
            key
            for key, (value, _) in self.rows.items()
            if key[:2] == (query["tableName"], query.get("part", ""))
            and value is not None
            and key[2] >= query.get("from", "")
        )
        limit = int(query.get("limit", "500"))
        rows = [self._body(*key) for key in keys[:limit]]
        return self._answer({"rows": rows, "hasMore": len(keys) > limit})

    async def _feed(self, request: Request) -> Response:
        query = request.query_params
        after = int(query["after"])
        era = self.era
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while not self.is_down and self._has_history(after) and era == self.era:
                changed = self._changed(query["tableName"], after)
                if changed:
                    return self._answer({"rows": changed})
                await anyio.sleep(_FEED_TICK_S)
        if self.is_down:
            return self._status(503)
        if not self._has_history(after):
            return self._status(410)
        return self._answer({"rows": []})

    async def _failover(self, request: Request) -> Response:
        if self.is_down:
            return Response(status_code=503)
        body = msgspec.json.decode(await request.body())
        token = int(request.headers["X-Goldcrestpond-Fencing-Token"])
        service = body["serviceName"]
        if token < self._tokens.get(service, 0):
            return Response(status_code=409)
        self._tokens[service] = token
        self.promotions.append((service, body["id"], token))
        self.promote(service, body["id"])
        if self.should_lose_answer("/failover"):
            return Response(status_code=500)
        return Response()

    def _has_history(self, after: int) -> bool:
        return self.first_version - 1 <= after <= self._version

    def _changed(self, table: str, after: int) -> list[dict]:
        keys = [
            key
            for key, (_, version) in self.rows.items()
            if key[0] == table and version > after
        ]
        keys.sort(key=lambda key: self.rows[key][1])
        return [self._body(*key) for key in keys]

    def _ver(self, condition: dict) -> int:
        value, version = self.rows.get(_key(condition), (None, 0))
        return 0 if value is None else version

    def _body(self, table: str, part: str, key: str) -> dict:
        value, version = self.rows.get((table, part, key), (None, 0))
        body = {"tableName": table, "part": part, "key": key, "ver": version}
        return {**body, **({"deleted": True} if value is None else {"value": value})}

    def _answer(self, body: dict, status: int = 200) -> Response:
        full = {"rows": [], **body, "ver": self._version, "nowMs": 0}
        return Response(
            msgspec.json.encode(full),
            status,
            self._headers(),
            media_type="application/json",
        )

    def _status(self, status: int) -> Response:
        return Response(status_code=status, headers=self._headers())

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}


def _key(body: dict) -> tuple[str, str, str]:
    return body["tableName"], body.get("part", ""), body["key"]

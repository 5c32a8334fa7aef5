"""Stand-in of the platform's store and of its failover call."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

MAX_ROWS = 500


class Store:
    """Rows in tables, and the call that promotes a database.

    Attributes
    ----------
    port : int
        Port on 127.0.0.1, once it listens.
    promote : callable
        Called with service and id of an accepted failover call; returns whether the
        database is running.
    promotions : list of tuple
        Time, service, id and fencing token of each accepted call.
    """

    def __init__(self) -> None:
        self.port = 0
        self.promote: Callable[[str, str], bool] = lambda service, database_id: False
        self.promotions: list[tuple[float, str, str, int]] = []
        self._rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self._version = 0
        self._tokens: dict[str, int] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: dict) -> None:
        """Write a row as the operator or a database does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write([(table, "", key, text)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write([(table, "", key, None)])

    def _write(self, changes: list[tuple[str, str, str, str | None]]) -> None:
        self._version += 1
        for table, part, key, value in changes:
            self._rows[table, part, key] = (value, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _body(self, key: tuple[str, str, str]) -> dict:
        value, version = self._rows.get(key, (None, 0))
        body = {"tableName": key[0], "part": key[1], "key": key[2], "ver": version}
        return body | ({"deleted": True} if value is None else {"value": value})

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has closed the connection, or the case has ended
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        headers = {}
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        calls: dict[str, Callable[..., Awaitable[tuple[int, dict]]]] = {
            "POST /-/rows-tx": self._transact,
            "GET /-/rows-get": self._get,
            "GET /-/rows-feed": self._feed,
            "POST /failover": self._failover,
        }
        call = calls.get(f"{method} {url.path}")
        status, answer = (404, {}) if call is None else await call(query, headers, body)
        now_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
        data = json.dumps({"nowMs": now_ms, "ver": self._version} | answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True

    async def _transact(
        self, query: dict, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        entry = json.loads(body)

        def key(row: dict) -> tuple[str, str, str]:
            return row["tableName"], row.get("part", ""), row["key"]

        def version(row: dict) -> int:
            value, at = self._rows.get(key(row), (None, 0))
            return 0 if value is None else at

        conditions = entry.get("precondition", [])
        if any(version(row) != row["ver"] for row in conditions):
            return 412, {"rows": [self._body(key(row)) for row in conditions]}
        changes = [(*key(row), row["value"]) for row in entry.get("puts", [])]
        changes += [(*key(row), None) for row in entry.get("remove", [])]
        self._write(changes)
        return 200, {"rows": []}

    async def _get(self, query: dict, headers: dict, body: bytes) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        place = (query["tableName"], query.get("part", ""))
        keys = sorted(
            key
            for key, (value, _) in self._rows.items()
            if key[:2] == place and value is not None
            if key[2] >= query.get("from", "")
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [self._body(key) for key in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit}

    async def _feed(self, query: dict, headers: dict, body: bytes) -> tuple[int, dict]:
        after, table = int(query["after"]), query["tableName"]
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            keys = [
                key
                for key, (_, version) in self._rows.items()
                if key[0] == table and version > after
            ]
            wait_s = ends_at - time.monotonic()
            if keys or wait_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
        keys.sort(key=lambda key: self._rows[key][1])
        return 200, {"rows": [self._body(key) for key in keys]}

    async def _failover(
        self, query: dict, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        entry = json.loads(body)
        service, database_id = entry["serviceName"], entry["id"]
        token = int(headers["x-goldcrestpond-fencing-token"])
        if token < self._tokens.get(service, 0):
            return 409, {}
        self._tokens[service] = token
        if not self.promote(service, database_id):
            return 409, {}
        self.promotions.append((time.monotonic(), service, database_id, token))
        return 200, {}

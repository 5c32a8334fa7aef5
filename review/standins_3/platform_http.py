"""The platform's store and its failover call, as the page PROTOCOL describes them."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
LATE_LIMIT_S = 12.0


class Platform:
    """Rows with versions, and orders of promotions with fences.

    Attributes
    ----------
    groups : dict of str to Group
        Databases by service.
    late_order_s : callable
        Called with service and database of an order; returns after how many seconds
        it is carried out without an answer, or None for an answer at once.
    orders : list of dict
        Orders in the order in which they came.
    """

    def __init__(self, groups, record):
        self.groups = groups
        self.record = record
        self.late_order_s = lambda service, database_id: None
        self.orders = []
        self.port = 0
        self.rows = {}
        self.version = 0
        self._fences = {}
        self._changed = asyncio.Event()

    async def start(self):
        """Listen on loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def put(self, table, key, value):
        """Write a row as the operator or a database does."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, "", key] = (text, self.version)
        self._notify()

    def drop(self, table, key):
        """Remove a row."""
        self.version += 1
        self.rows[table, "", key] = (None, self.version)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
                headers = {name.lower(): value.strip() for name, value in pairs}
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                status, answer = await self._answer(method, target, headers, body)
                if status == 0:  # no answer: until the caller gives up
                    await reader.read(1)
                    return
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the run is over
        finally:
            writer.transport.abort()

    async def _answer(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path != "/-/rows-feed":
            await asyncio.sleep(ANSWER_S)
        if parts.path == "/-/rows-get":
            return 200, self._get(query)
        if parts.path == "/-/rows-feed":
            return 200, await self._feed(query)
        if parts.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if parts.path == "/failover":
            return self._order(json.loads(body), headers)
        return 404, {}

    def _body(self, table, part, key):
        value, version = self.rows.get((table, part, key), (None, 0))
        row = {"tableName": table, "part": part, "key": key, "ver": version}
        return row | ({"deleted": True} if value is None else {"value": value})

    def _rows(self, rows, **more):
        now_ms = time.monotonic() * 1000
        return {"rows": rows, "ver": self.version, "nowMs": now_ms, **more}

    def _get(self, query):
        place = (query["tableName"], query.get("part", ""))
        keys = sorted(
            (
                key
                for key, (value, _) in self.rows.items()
                if key[:2] == place and value is not None
                if key[2] >= query.get("from", "")
            ),
            key=lambda key: key[2].encode(),
        )
        limit = min(500, int(query.get("limit", "500")))
        rows = [self._body(*key) for key in keys[:limit]]
        return self._rows(rows, hasMore=len(keys) > limit)

    async def _feed(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                (version, key)
                for key, (_, version) in self.rows.items()
                if key[0] == query["tableName"] and version > after
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return self._rows([self._body(*key) for _, key in sorted(found)])
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body):
        def place(row):
            return row["tableName"], row.get("part", ""), row["key"]

        checked = body.get("precondition", [])
        if any(self._current(place(row)) != row["ver"] for row in checked):
            return 412, self._rows([self._body(*place(row)) for row in checked])
        self.version += 1
        for row in body.get("puts", []):
            self.rows[place(row)] = (row["value"], self.version)
        for row in body.get("remove", []):
            self.rows[place(row)] = (None, self.version)
        self._notify()
        return 200, self._rows([])

    def _current(self, place):
        value, version = self.rows.get(place, (None, 0))
        return 0 if value is None else version

    def _order(self, body, headers):
        order = {
            "service": body["serviceName"],
            "database": body["id"],
            "holder": headers["x-goldcrestpond-duty-holder"],
            "fence": int(headers["x-goldcrestpond-fencing-token"]),
            "at": time.monotonic(),
            "status": 0,
        }
        self.orders.append(order)
        late_s = self.late_order_s(order["service"], order["database"])
        named = "{service}: order for {database} by {holder}, fence {fence}".format(
            **order
        )
        if late_s is None:
            self._carry_out(order)
            self.record(f"{named}: answered {order['status']}")
            return order["status"], {}
        assert 2 <= late_s <= LATE_LIMIT_S
        self.record(f"{named}: not answered, carried out {late_s} s later")
        asyncio.get_running_loop().call_later(late_s, self._carry_out, order)
        return 0, {}

    def _carry_out(self, order):
        group = self.groups[order["service"]]
        chosen = group.databases.get(order["database"])
        if order["fence"] < self._fences.get(order["service"], 0):
            order["status"] = 409
        else:
            self._fences[order["service"]] = order["fence"]
            is_running = chosen is not None and chosen.is_running
            order["status"] = 200 if is_running else 409
        if order["status"] == 200 and chosen.role != "primary":
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, group.promote, order["database"])

"""Session of a consumer."""

import asyncio
import time


class Ended(Exception):
    """The connection has ended without a complete answer."""


class Answer:
    """A complete answer."""

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.receipt = ""
        self.error = ""
        self.state = ""


class Session:
    """A connection of a consumer, which sends one request after the other."""

    def __init__(self, port: int):
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, database: str, key: str = "u3f1") -> Answer:
        """Connect, and return the answer to CONNECT."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self._port, limit=8 << 20
            )
        except OSError as error:
            raise Ended(repr(error)) from error
        return await self._exchange(f"CONNECT {database} {key}\r\n")

    async def query(self, request_id: str, text: str) -> Answer:
        """Send a query and return its answer."""
        return await self._exchange(f"QUERY {request_id} {text}\r\n")

    async def _exchange(self, line: str) -> Answer:
        answer = Answer()
        try:
            self._writer.write(line.encode("latin-1"))
            await self._writer.drain()
            while True:
                data = await self._reader.readuntil(b"\r\n")
                word, _, rest = data[:-2].decode("latin-1").partition(" ")
                if word == "ROW":
                    answer.rows.append(rest)
                elif word == "COMPLETE":
                    answer.receipt = rest
                elif word == "ERROR":
                    answer.error = rest
                    if line.startswith("CONNECT"):
                        return answer
                elif word == "READY":
                    answer.state = rest.split(" ")[0]
                    return answer
        except (OSError, asyncio.IncompleteReadError) as error:
            raise Ended(repr(error)) from error

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


async def wait_ready(port: int, timeout_s: float = 20.0) -> bool:
    """Wait until an instance answers that it is ready."""
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return True
        except OSError:
            pass
        await asyncio.sleep(0.1)
    return False

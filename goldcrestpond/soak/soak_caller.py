"""A caller of a soak: writes rising numbers and reads them back."""

import random
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from .promise_checker import PromiseChecker
from .soak_site import MAX_AGE_MS, SoakSite

ANSWER_LIMIT_S = 4.0  # several times a statement's time
PAUSE_S = 0.02
# Commits are taken as acknowledged when the answer arrives here.
AGE_SLACK = timedelta(milliseconds=50)
_LOST = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
)


class SoakCaller:
    """One caller; reconnects whenever its session ends.

    Parameters
    ----------
    number : int
        Number of the caller.
    site : SoakSite
        The instances.
    checker : PromiseChecker
        Told what was answered.
    clock : Clock
        Source of readings.
    rng : random.Random
        Source of choices.
    """

    def __init__(
        self,
        number: int,
        site: SoakSite,
        checker: PromiseChecker,
        clock: Clock,
        rng: random.Random,
    ):
        self.item = f"item{number}"
        self._site = site
        self._checker = checker
        self._clock = clock
        self._rng = rng
        self._written = 0
        self._sent = 0
        self._data = b""
        self.is_ending = False
        self.last_success = clock.now()

    async def run(self) -> None:
        """Work until told to end."""
        while not self.is_ending:
            try:
                await self._session()
            except _LOST as error:
                self._checker.counts[type(error).__name__] += 1
            await anyio.sleep(PAUSE_S)

    async def _session(self) -> None:
        instance = self._rng.choice(self._site.instances)
        address = instance.address
        route = self._rng.choice(["current", "aged", "own"])
        with anyio.fail_after(ANSWER_LIMIT_S):
            stream = await anyio.connect_tcp(address.host, address.port)
        self._data = b""
        own = 0
        try:
            await stream.send(f"CONNECT {route} soak\r\n".encode())
            if not (await self._line(stream)).startswith("READY"):
                return
            for _ in range(self._rng.randint(1, 40)):
                if self.is_ending:
                    return
                own = await self._operate(stream, route, own)
                await anyio.sleep(self._rng.random() * PAUSE_S)
        finally:
            await anyio.aclose_forcefully(stream)

    async def _operate(self, stream, route: str, own: int) -> int:
        if route != "aged" and self._rng.random() < 0.3:
            return await self._write(stream, own)
        needed, why = self._needed(route, own)
        lines = await self._ask(stream, f"READ {self.item}")
        if lines[0].startswith("ROW"):
            shown = lines[0].split(" ")[1]
            number = 0 if shown == "-" else int(shown)
            self._checker.read(self.item, number, needed, why)
        return own

    def _needed(self, route: str, own: int) -> tuple[int, str]:
        now = self._clock.now()
        if route == "current":
            return self._checker.newest_before(self.item, now), "stale current read"
        max_age = timedelta(milliseconds=MAX_AGE_MS) + AGE_SLACK
        aged = self._checker.newest_before(self.item, now - max_age)
        if route == "own":
            return max(own, aged), "own write not read"
        return aged, "read beyond its age"

    async def _write(self, stream, own: int) -> int:
        self._written += 1
        number = self._written
        if self._rng.random() < 0.5:
            lines = await self._ask(stream, f"WRITE {self.item} {number}")
        else:
            lines = await self._transact(stream, number)
        if lines[0].startswith("COMPLETE"):
            self._checker.acknowledged(self.item, number, self._clock.now())
            return number
        self._checker.refused(self.item, number, lines[0].split(" ")[1])
        return own

    async def _transact(self, stream, number: int) -> list[str]:
        await self._ask(stream, "BEGIN")
        lines = await self._ask(stream, f"WRITE {self.item} {number}")
        if not lines[0].startswith("COMPLETE"):
            await self._ask(stream, "ROLLBACK")
            return lines
        return await self._ask(stream, "COMMIT")

    async def _ask(self, stream, text: str) -> list[str]:
        self._sent += 1
        request = f"{self.item}.{self._sent}"
        await stream.send(f"QUERY {request} {text}\r\n".encode())
        lines = [await self._line(stream)]
        while not lines[-1].startswith("READY"):
            lines.append(await self._line(stream))
        word = lines[0].split(" ")
        self._checker.counts[word[1] if word[0] == "ERROR" else word[0]] += 1
        if word[0] != "ERROR":
            self.last_success = self._clock.now()
        return lines

    async def _line(self, stream) -> str:
        with anyio.fail_after(ANSWER_LIMIT_S):
            while b"\r\n" not in self._data:
                self._data += await stream.receive()
        line, _, self._data = self._data.partition(b"\r\n")
        return line.decode("latin-1")

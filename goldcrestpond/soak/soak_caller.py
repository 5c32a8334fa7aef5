"""A caller of a soak: writes increasing numbers and reads them back."""

import random
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from .instance_process import InstanceProcess
from .promise_checker import PromiseChecker
from .soak_site import MAX_AGE_MS, SoakSite

ANSWER_TIMEOUT_S = 4.0  # several times the timeout of a statement
PAUSE_S = 0.02
REPORT_READ_COUNT_MAX = 12
REPORT_PAUSE_MAX_S = 0.1
# Callers record a commit as acknowledged when its answer arrives, which is later than
# the commit itself.
AGE_TOLERANCE = timedelta(milliseconds=50)
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
)


class SoakCaller:
    """One caller, which connects again whenever its session ends.

    Parameters
    ----------
    number : int
        Number of the caller.
    site : SoakSite
        Site with the instances to connect to.
    checker : PromiseChecker
        Receives the answers.
    clock : Clock
        Monotonic clock.
    rng : random.Random
        Source of random choices.
    report_share : float, default=0
        Part of its operations that are long transactions of reads.
    """

    def __init__(
        self,
        number: int,
        site: SoakSite,
        checker: PromiseChecker,
        clock: Clock,
        rng: random.Random,
        report_share: float = 0.0,
    ):
        self._report_share = report_share
        self._instance: InstanceProcess | None = None
        self.item = f"item{number}"
        self._service = site.services[number % len(site.services)]
        self._suffix = self._service.suffix
        self._site = site
        self._checker = checker
        self._clock = clock
        self._rng = rng
        self._last_written = 0
        self._query_count = 0
        self._received = b""
        self.is_ending = False
        self.last_success_at = clock.now()

    async def run(self) -> None:
        """Run sessions until ``is_ending`` is set."""
        while not self.is_ending:
            try:
                await self._run_session()
            except _CONNECTION_ERRORS as error:
                self._checker.counts[type(error).__name__] += 1
            await anyio.sleep(PAUSE_S)

    async def _run_session(self) -> None:
        instance = self._instance = self._rng.choice(self._site.instances)
        address = instance.address
        route = self._rng.choice(["current", "aged", "own"])
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            stream = await anyio.connect_tcp(address.host, address.port)
        self._received = b""
        own_number = 0
        try:
            await stream.send(f"CONNECT {route}{self._suffix} soak\r\n".encode())
            if not (await self._receive_line(stream)).startswith("READY"):
                return
            for _ in range(self._rng.randint(1, 40)):
                if self.is_ending:
                    return
                own_number = await self._run_operation(stream, route, own_number)
                await anyio.sleep(self._rng.random() * PAUSE_S)
        finally:
            await anyio.aclose_forcefully(stream)

    async def _run_operation(self, stream, route: str, own_number: int) -> int:
        if self._rng.random() < self._report_share:
            await self._run_report(stream)
            return own_number
        if route != "aged" and self._rng.random() < 0.3:
            return await self._write(stream, own_number)
        required, why = self._get_required_number(route, own_number)
        lines = await self._run_query(stream, f"READ {self.item}")
        if lines[0].startswith("ROW"):
            value = lines[0].split(" ")[1]
            number = 0 if value == "-" else int(value)
            self._checker.check_read(self.item, number, required, why)
        return own_number

    async def _run_report(self, stream) -> None:
        """Read several times in a transaction, with pauses."""
        await self._run_query(stream, "BEGIN READ")
        for _ in range(self._rng.randint(1, REPORT_READ_COUNT_MAX)):
            lines = await self._run_query(stream, f"READ {self.item}")
            if lines[0].startswith("ERROR"):
                await self._run_query(stream, "ROLLBACK")
                return
            await anyio.sleep(self._rng.random() * REPORT_PAUSE_MAX_S)
        await self._run_query(stream, "COMMIT")

    def _get_required_number(self, route: str, own_number: int) -> tuple[int, str]:
        now = self._clock.now()
        if route == "current":
            return self._checker.get_newest_acknowledged(
                self.item, now
            ), "stale current read"
        max_age = timedelta(milliseconds=MAX_AGE_MS) + AGE_TOLERANCE
        aged_number = self._checker.get_newest_acknowledged(self.item, now - max_age)
        if route == "own":
            return max(own_number, aged_number), "own write not read"
        return aged_number, "read beyond its age"

    async def _write(self, stream, own_number: int) -> int:
        self._last_written += 1
        number = self._last_written
        if self._rng.random() < 0.5:
            lines = await self._run_query(stream, f"WRITE {self.item} {number}")
        else:
            lines = await self._write_in_transaction(stream, number)
        if lines[0].startswith("COMPLETE"):
            self._checker.record_acknowledged(self.item, number, self._clock.now())
            return number
        self._checker.record_refused(self.item, number, lines[0].split(" ")[1])
        return own_number

    async def _write_in_transaction(self, stream, number: int) -> list[str]:
        await self._run_query(stream, "BEGIN")
        lines = await self._run_query(stream, f"WRITE {self.item} {number}")
        if not lines[0].startswith("COMPLETE"):
            await self._run_query(stream, "ROLLBACK")
            return lines
        return await self._run_query(stream, "COMMIT")

    async def _run_query(self, stream, text: str) -> list[str]:
        self._query_count += 1
        request = f"{self.item}.{self._query_count}"
        await stream.send(f"QUERY {request} {text}\r\n".encode())
        try:
            lines = [await self._receive_line(stream)]
            while not lines[-1].startswith("READY"):
                lines.append(await self._receive_line(stream))
        except _CONNECTION_ERRORS:
            if self._instance.is_stopping and self._service.has_run(request):
                self._checker.record_cut(f"{request} {text}", self._instance.name)
            raise
        words = lines[0].split(" ")
        self._checker.counts[words[1] if words[0] == "ERROR" else words[0]] += 1
        if words[0] != "ERROR":
            self.last_success_at = self._clock.now()
        return lines

    async def _receive_line(self, stream) -> str:
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            while b"\r\n" not in self._received:
                self._received += await stream.receive()
        line, _, self._received = self._received.partition(b"\r\n")
        return line.decode("latin-1")

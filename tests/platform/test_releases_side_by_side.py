"""Two builds of the history serve side by side while instances are replaced."""

import io
import random
import signal
import subprocess
import tarfile
from pathlib import Path

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from goldcrestpond.api.http_server import serve_http
from goldcrestpond.settings.address import Address
from goldcrestpond.soak.soak_site import CONNECTION_LIMIT, SERVICE, SoakSite
from goldcrestpond.standin.line_bodies import (
    make_configuration_body,
    make_organisation_body,
)

from ..line_world import LineCaller

_ROOT = Path(__file__).parents[2]
# The last build in which all services have the same holders.
_FORMER_COMMIT = "e77dfbd"
_INSTANCE_COUNT = 3
_CALLER_COUNT = 6
_KEYS = {f"o{number}": [f"key-{number}"] for number in range(_CALLER_COUNT)}
# Answers that say that nothing was run or kept.
_PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
_CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)


class _OrganisedSite(SoakSite):
    """A site whose callers name themselves by keys of organisations."""

    def put_next_configuration(self):
        self.version += 1
        body = make_configuration_body(
            self.version,
            SERVICE,
            CONNECTION_LIMIT,
            {"aged": 1500, "own": 1500},
            800,
            organisations=[make_organisation_body(n, k) for n, k in _KEYS.items()],
        )
        self.platform.put("op", "config", body)


@pytest.fixture(scope="module")
def former_build(tmp_path_factory):
    """Return the folder of a build of the history."""
    command = ["git", "archive", _FORMER_COMMIT, "goldcrestpond"]
    archive = subprocess.run(command, cwd=_ROOT, capture_output=True)
    if archive.returncode:
        pytest.skip("the history is not here")
    folder = tmp_path_factory.mktemp("former")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder)
    return folder


class _Caller:
    """One caller that writes, reads its writes and counts what it is answered."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.rng = random.Random(number)
        self.acknowledged = 0
        self.possible = {"-"}
        self.served_count = self.refused_count = self.unknown_count = 0
        self.broken = []

    async def run(self):
        while True:
            running = [i for i in self.site.instances if i.is_running]
            try:
                address = self.rng.choice(running).address
                stream = await anyio.connect_tcp(address.host, address.port)
            except OSError:
                await anyio.sleep(0.05)
                continue
            caller = LineCaller(stream)
            try:
                greeting = await caller.connect("own", f"key-{self.number}")
                while greeting == "READY I -":
                    await self._step(caller)
                    await anyio.sleep(0.01)
            except _CONNECTION_ERRORS:
                await anyio.sleep(0.02)
            finally:
                await caller.aclose()

    async def _step(self, caller):
        value = self.acknowledged + self.unknown_count + self.refused_count + 1
        texts = [f"WRITE item{self.number} {value}"]
        if self.rng.random() < 0.3:
            texts = ["BEGIN", f"READ item{self.number}", *texts, "COMMIT"]
        self.possible.add(str(value))
        for text in texts:
            answer = await caller.ask(text)
            if answer[0].startswith("ERROR"):
                break
        self.served_count += 1
        code = answer[0].split()[1] if answer[0].startswith("ERROR") else ""
        if code:
            await caller.ask("ROLLBACK")
            if code in _PROMISES:
                self.possible.discard(str(value))
                self.refused_count += 1
            else:
                self.unknown_count += 1
            return
        self.acknowledged = value
        self.possible = {str(value)}
        read = await caller.ask(f"READ item{self.number}")
        if read[0].startswith("ROW") and read[0].split()[1] not in self.possible:
            self.broken.append((value, read))


def _play(tmp_path, body):
    async def run():
        site = _OrganisedSite(tmp_path)
        application = site.platform.application()
        with anyio.fail_after(100):
            async with anyio.create_task_group() as tasks:
                async with serve_http(application, Address("127.0.0.1", 0)) as store:
                    try:
                        await site.start(tasks, store, 0)
                        await body(site, tasks, store)
                    finally:
                        site.kill_instances()
                        site.platform.is_down = True
                    tasks.cancel_scope.cancel()

    anyio.run(run)


async def _replace(site, index, source, is_killed=False):
    instance = site.instances[index]
    instance.send_signal(signal.SIGKILL if is_killed else signal.SIGTERM)
    await instance.wait_stopped()
    instance.source = source
    instance.start()
    await anyio.sleep(2)


# Failure: while instances are replaced one by one, former and present programs do not
# understand each other, or serve an organisation by different rules.
@pytest.mark.parametrize("is_killed", [False, True], ids=["stopped", "killed"])
def test_releases_serve_side_by_side_there_and_back(tmp_path, former_build, is_killed):
    async def body(site, tasks, store):
        for number in range(_INSTANCE_COUNT):
            await site._add_instance(tasks, f"i{number + 1}", store)
            instance = site.instances[-1]
            instance.kill()
            instance.source = former_build
            instance.start()
        await anyio.sleep(3)
        callers = [_Caller(site, number) for number in range(_CALLER_COUNT)]
        for caller in callers:
            tasks.start_soon(caller.run)
        await anyio.sleep(1)
        for source in (None, former_build):
            for index in range(_INSTANCE_COUNT):
                before = sum(caller.acknowledged for caller in callers)
                await _replace(site, index, source, is_killed and index == 1)
                after = sum(caller.acknowledged for caller in callers)
                assert_that(after - before, GreaterThan(50))
        served = sum(caller.served_count for caller in callers)
        refused = sum(caller.refused_count + caller.unknown_count for caller in callers)
        assert_that([b for caller in callers for b in caller.broken], Equals([]))
        assert_that(refused, LessThan(0.2 * served))
        logs = [path.read_text() for path in tmp_path.glob("*.log")]
        assert_that(any("Traceback" in log for log in logs), Equals(False))

    _play(tmp_path, body)

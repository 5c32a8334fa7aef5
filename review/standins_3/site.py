"""Instances before stand-ins, on loopback, with settings like a small deployment's."""

import asyncio
import datetime
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .databases import HEARTBEAT_S, SILENT_INTERVALS, Group
from .platform_http import Platform

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 6
# Events of the instances that a record shows.
SHOWN_EVENTS = (
    "commits blocked",
    "commits held back",
    "commits unblocked",
    "claimed by another instance",
    "earlier orders made void",
    "orders not voided",
    "leader lost",
    "leader proved",
    "promotion accepted",
    "promotion not answered",
    "promotion ordered",
    "replicas resumed",
    "succession failed",
    "succession given up",
    "takeover not seen",
    "takeover seen",
    "task failed",
)
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE"})
_LOW_PORT, _HIGH_PORT = 20000, 32000


def free_ports():
    """Yield ports that nobody uses, each once."""
    first = random.SystemRandom().randint(_LOW_PORT, _HIGH_PORT)
    for port in (*range(first, _HIGH_PORT), *range(_LOW_PORT, first)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


class Instance:
    """One process of the project, started as the deploy file says."""

    def __init__(self, name, zone, site):
        ports = [next(site.ports) for _ in range(4)]
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.name = name
        self.port = ports[0]
        self.ready_port = ports[1]
        store = f"127.0.0.1:{site.platform.port}"
        # What deploy/settings.json is filled in with.
        settings = {
            "instance": name,
            "availability_zone": zone,
            "listen": addresses[0],
            "ready_listen": addresses[1],
            "peer_listen": addresses[2],
            "metrics_listen": addresses[3],
            "store": store,
            "duties": store,
            "drain_limit_ms": 7000,
            "apply_limit_ms": 3000,
            "grace_s": GRACE_S,
            "link_mbps": 1000.0,
            "descriptor_limit": 4200,
        }
        self._settings_path = site.folder / f"{name}.json"
        self._settings_path.write_text(json.dumps(settings))
        self.log_path = site.folder / f"{name}.log"
        self.child = None

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["proxy"]["run"].split()
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with self.log_path.open("ab") as log:
            self.child = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=kept
                | {
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "GOLDCRESTPOND_SETTINGS": str(self._settings_path),
                },
            )

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    async def is_ready(self):
        """Return whether the ready probe gets 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1):
                line = await reader.readline()
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Site:
    """Store, databases and instances of one run.

    Attributes
    ----------
    folder : Path
        Temporary folder with settings and logs.
    lines : list of tuple
        Wall time and text of what the record shows.
    """

    def __init__(self, services):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.ports = free_ports()
        self.lines = []
        self.groups = {name: Group(name, self.record) for name in services}
        self.platform = Platform(self.groups, self.record)
        self.instances = {}
        self.began_at = time.time()
        self._tasks = []
        self._server = None

    def record(self, text):
        """Add a line to the record."""
        self.lines.append((time.time(), text))

    async def start(self):
        """Start the store and the databases that were added."""
        self._server = await self.platform.start()
        for group in self.groups.values():
            for database in group.databases.values():
                await database.start()
        self.put_configuration(1)
        self._tasks.append(asyncio.create_task(self._beat()))

    def put_configuration(self, version):
        """Write a configuration with one route of each type for each service."""
        routes, services = [], []
        kinds = {
            "": "primary",
            "-aged": "bounded_staleness",
            "-own": "read_your_writes",
        }
        for name in self.groups:
            services.append([name, 34, 1])
            for suffix, kind in kinds.items():
                row = [f"r-{name}{suffix}", f"{name}{suffix}", "/", name, kind]
                routes.append([*row, 1500, 800, 200, 1, 2])
        columns = ["name", "database", "prefix", "serviceName", "routeType"]
        more = [
            "maxStalenessMs",
            "timeoutMs",
            "targetLatencyMs",
            "priority",
            "attempts",
        ]
        body = {
            "configVersion": version,
            "routes": {"columns": columns + more, "rows": routes},
            "services": {
                "columns": ["name", "maxConns", "syncReplicas"],
                "rows": services,
            },
            "limits": {"txnIdleMs": 3000},
        }
        self.platform.put("op", "config", body)

    async def add_instance(self, name, zone="z1"):
        """Start an instance and wait until it is ready."""
        instance = self.instances[name] = Instance(name, zone, self)
        instance.start()
        ends_at = time.monotonic() + 20
        while not await instance.is_ready():
            if time.monotonic() > ends_at:
                raise RuntimeError(f"{name} is not ready")
            await asyncio.sleep(0.1)
        self.record(f"{name} is ready")
        return instance

    async def _beat(self):
        """Write the entries of the databases; drop those of silent ones."""
        known = {}
        while True:
            now = time.monotonic()
            for group in self.groups.values():
                for database in list(group.databases.values()):
                    if database.is_running:
                        self._write_entry(group, database, now, known)
            for database_id, (database, _, at) in list(known.items()):
                if now - at >= HEARTBEAT_S * SILENT_INTERVALS:
                    if not database.is_running:
                        self.platform.drop("servers", database_id)
                        del known[database_id]
            await asyncio.sleep(0.05)

    def _write_entry(self, group, database, now, known):
        shown = (database.state, database.role)
        _, former, at = known.get(database.database_id, (None, None, 0.0))
        if former == shown and now - at < HEARTBEAT_S:
            return
        database.sequence += 1
        known[database.database_id] = (database, shown, now)
        entry = {
            "serviceName": group.service,
            "address": f"127.0.0.1:{database.port}",
            "zone": database.zone,
            "configVersion": "v1",
            "slots": 5,
            "state": database.state,
            "warmupLeftMs": 0,
            "dbRole": database.role,
            "sequence": database.sequence,
        }
        self.platform.put("servers", database.database_id, entry)

    async def stop(self):
        """End all processes that this run has started."""
        for task in self._tasks:
            task.cancel()
        for instance in self.instances.values():
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
        for instance in self.instances.values():
            if instance.child is not None:
                instance.child.wait(10)
        for group in self.groups.values():
            for database in group.databases.values():
                database.stop()
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(0.1)

    def write_record(self, path, head, services):
        """Write what was sent, answered and run, with events of the instances."""
        lines = [(at, text) for at, text in self.lines]
        for instance in self.instances.values():
            for raw in instance.log_path.read_text(errors="replace").splitlines():
                try:
                    event = json.loads(raw)
                except ValueError:
                    lines.append((time.time(), f"{instance.name} wrote {raw}"))
                    continue
                if event.get("event") not in SHOWN_EVENTS:
                    continue
                if event.get("service", services[0]) not in services:
                    continue
                at = _to_seconds(event.pop("time"))
                name = event.pop("event")
                event.pop("instance")
                lines.append((at, f"{instance.name} logs {name}: {event}"))
        with path.open("w") as file:
            for line in head:
                file.write(f"{line}\n")
            for at, text in sorted(lines, key=lambda line: line[0]):
                file.write(f"{at - self.began_at:9.3f} {text}\n")
        self._temporary.cleanup()


def run_case(main, limit_s=110):
    """Run a case; it ends after a limit, and at SIGTERM, with its processes."""

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main()

    try:
        return asyncio.run(run())
    except (TimeoutError, asyncio.CancelledError):
        return 2


def _to_seconds(text):
    return datetime.datetime.fromisoformat(text).timestamp()


class Caller:
    """One session after the other on a route; each request has an id of its own."""

    _numbers = itertools.count(1)

    def __init__(self, site, database, choose, window_bytes=0):
        self.site = site
        self.database = database
        self.choose = choose
        self.window_bytes = window_bytes
        self.reader = self.writer = None
        self.at = ""

    async def connect(self):
        """Open a session at one of the instances."""
        self.at = self.choose()
        port = self.site.instances[self.at].port
        connection = socket.socket()
        connection.setblocking(False)
        if self.window_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes
            )
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, ("127.0.0.1", port))
        except OSError:
            connection.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=1 << 24
        )
        self.writer.write(
            f"CONNECT {self.database} k{next(self._numbers)}\r\n".encode()
        )
        async with asyncio.timeout(2):
            line = await self.reader.readuntil(b"\r\n")
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())

    async def ask(self, text, request=None):
        """Send a statement; return its id and the lines of the answer."""
        request = request or f"{next(self._numbers):016x}"
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = []
        async with asyncio.timeout(5):
            while not lines or not lines[-1].startswith("READY"):
                line = await self.reader.readuntil(b"\r\n")
                lines.append(line[:-2].decode("latin-1"))
        return request, lines

    def close(self):
        """End the session."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

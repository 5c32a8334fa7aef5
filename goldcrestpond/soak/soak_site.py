"""Stand-ins, fault proxies and instances of a soak."""

import socket
from pathlib import Path

from anyio.abc import TaskGroup

from ..settings.address import Address
from ..standin.failover_orders import FailoverOrder
from ..standin.line_bodies import make_configuration_body, make_registry_entry
from ..standin.line_group import LineGroup
from ..standin.line_platform import LinePlatform
from ..standin.line_server import LineServer
from .fault_proxy import LOOPBACK, FaultProxy
from .instance_process import InstanceProcess

SERVICE = "soak"
DATABASES = ("d1", "d2", "d3")
MAX_AGE_MS = 1500
SHUTDOWN_GRACE_S = 2.0
CONNECTION_LIMIT = 200  # the stand-in databases accept any number
TIMEOUT_MS = 800


class SoakSite:
    """The instances of a soak, with the stand-ins and links around them.

    Attributes
    ----------
    platform, group, servers
        Stand-ins for the platform's store and for the databases.
    database_links : dict of str to FaultProxy
        Proxy between the instances and each database.
    store_links : dict of str to FaultProxy
        Proxy between each instance and the store.
    instances : list of InstanceProcess
        The instance processes.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.platform = LinePlatform()
        self.platform.failover.promote = self._promote
        self.group = LineGroup(SERVICE, list(DATABASES))
        self.servers = LineServer(self.group)
        self.database_links: dict[str, FaultProxy] = {}
        self.store_links: dict[str, FaultProxy] = {}
        self.instances: list[InstanceProcess] = []
        self.version = 0

    async def start(self, tasks: TaskGroup, store: Address, count: int) -> None:
        """Start the stand-ins, the links and ``count`` instances."""
        await self.servers.start(tasks)
        for database_id in DATABASES:
            link = FaultProxy(self.servers.addresses[database_id])
            await link.start(tasks)
            self.database_links[database_id] = link
        self.put_next_configuration()
        self.write_registry()
        for index in range(count):
            await self._add_instance(tasks, f"i{index + 1}", store)

    def put_next_configuration(self) -> None:
        """Put the next version of the configuration in force."""
        self.version += 1
        max_age_ms = dict.fromkeys(("aged", "own"), MAX_AGE_MS)
        body = make_configuration_body(
            self.version, SERVICE, CONNECTION_LIMIT, max_age_ms, TIMEOUT_MS
        )
        self.platform.put("op", "config", body)

    def write_registry(self, draining: str = "") -> None:
        """Write the registry: an entry for each running database, none for others."""
        for database_id, database in self.group.databases.items():
            if not database.is_running:
                self.platform.remove("servers", database_id)
                continue
            address = self.database_links[database_id].address
            is_draining = database_id == draining
            entry = make_registry_entry(SERVICE, database, address, "z1", is_draining)
            self.platform.put("servers", database_id, entry)

    def kill_instances(self) -> None:
        """Kill the process of every instance."""
        for instance in self.instances:
            instance.kill()

    async def _add_instance(self, tasks: TaskGroup, name: str, store: Address) -> None:
        link = FaultProxy(store)
        address = await link.start(tasks)
        self.store_links[name] = link
        settings = {
            "instance": name,
            "availability_zone": "z1",
            "listen": f"{LOOPBACK}:{_free_port()}",
            "ready_listen": f"{LOOPBACK}:{_free_port()}",
            "peer_listen": f"{LOOPBACK}:{_free_port()}",
            "metrics_listen": f"{LOOPBACK}:{_free_port()}",
            "store": str(address),
            "duties": str(store),
            "grace_s": SHUTDOWN_GRACE_S,
        }
        instance = InstanceProcess(name, self.folder, settings)
        instance.start()
        self.instances.append(instance)

    def _promote(self, order: FailoverOrder) -> None:
        self.group.promote(order.database_id)
        self.write_registry()


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]

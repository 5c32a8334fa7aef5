"""Stand-ins, fault proxies and instances of a soak."""

import base64
import itertools
import json
import random
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from ..serving.failover_claim import TABLE as CLAIM_TABLE
from ..settings.address import Address
from ..standin.failover_orders import FailoverOrder
from ..standin.line_bodies import (
    make_configuration_body,
    merge_configuration_bodies,
)
from ..standin.line_group import LinePromotion
from ..standin.line_platform import LinePlatform
from .fault_proxy import LOOPBACK, FaultProxy
from .instance_process import InstanceProcess
from .soak_plan import SINGLE_FAULT_PLAN, SoakPlan
from .soak_service import SoakService

SERVICE = "soak"
MAX_AGE_MS = 1500
SHUTDOWN_GRACE_S = 2.0
CONNECTION_LIMIT = 200  # the stand-in databases accept any number
TIMEOUT_MS = 800
_ORDER_POLL_S = 0.01
# Below the ports that Linux gives to outgoing connections.
_LOWEST_PORT, _HIGHEST_PORT = 20000, 32000


@dataclass(frozen=True, slots=True)
class Loss:
    """A promotion that lost acknowledged commits, and when it took effect."""

    service: str
    order: FailoverOrder
    promotion: LinePromotion
    effective_at: timedelta


class SiteLog:
    """Log of what happens to the databases, beside the logs of the instances."""

    def __init__(self, path: Path, clock: Clock):
        self._path = path
        self._clock = clock

    def decision(self, event: str, **fields: object) -> None:
        """Append a line."""
        time = self._clock.wall().isoformat(timespec="milliseconds")
        line = json.dumps({"time": time, "event": event, **fields}, default=str)
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")


class SoakSite:
    """The instances of a soak, with the stand-ins and links around them.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    plan : SoakPlan
        Number of services, and how hard the stand-ins are.
    seed : int
        Seed of the delays.

    Attributes
    ----------
    platform : LinePlatform
        Stand-in for the platform's store.
    services : list of SoakService
        Services with their databases.
    store_links : dict of str to FaultProxy
        Proxy between each instance and the store.
    instances : list of InstanceProcess
        The instance processes.
    losses : list of Loss
        Promotions that lost acknowledged commits.
    record_loss : callable
        Called with each of them.
    """

    def __init__(self, folder: Path, plan: SoakPlan = SINGLE_FAULT_PLAN, seed: int = 1):
        self.folder = folder
        self.clock = SystemClock()
        self.log = SiteLog(folder / "site.log", self.clock)
        self.platform = LinePlatform(self.clock)
        rng = random.Random(seed)
        low_ms, high_ms = plan.promotion_delay_ms
        failover = self.platform.failover
        failover.promote = self._promote
        failover.is_running = self._is_running
        failover.is_primary = self._is_primary
        failover.draw_effect_delay_s = lambda: rng.uniform(low_ms, high_ms) / 1000
        ids = (f"d{number}" for number in itertools.count(1))
        self.services = [
            SoakService(
                f"{SERVICE}{suffix}",
                suffix,
                ids,
                self.platform,
                plan.replication_delay_ms,
                plan.work_ms,
                rng,
                self.clock,
                self.log,
            )
            for suffix in ["", *(str(n) for n in range(2, plan.services + 1))]
        ]
        self.store_links: dict[str, FaultProxy] = {}
        self.instances: list[InstanceProcess] = []
        self.losses: list[Loss] = []
        self.record_loss: Callable[[Loss], None] = lambda loss: None
        self.version = 0
        self._ports = _free_ports()

    async def start(self, tasks: TaskGroup, store: Address, count: int) -> None:
        """Start the stand-ins, the links and ``count`` instances."""
        self.put_next_configuration()
        for service in self.services:
            await service.start(tasks)
        for index in range(count):
            await self._add_instance(tasks, f"i{index + 1}", store)

    def find_service(self, name: str) -> SoakService | None:
        """Return the service with a name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def find_claimant(self, service: str) -> str:
        """Return the instance that last claimed to replace the primary, or ""."""
        claims = [
            (version, value)
            for (table, _, key), (value, version) in self.platform.rows.items()
            if table == CLAIM_TABLE and value and key.endswith(f"/{service}")
        ]
        if not claims:
            return ""
        return json.loads(base64.b64decode(max(claims)[1]))["holder"]

    async def wait_for_order(self, service: str) -> None:
        """Wait for the next failover call, for a service unless it is empty."""
        orders = self.platform.failover.orders
        seen = len(orders)
        while not any(service in ("", order.service) for order in orders[seen:]):
            await anyio.sleep(_ORDER_POLL_S)

    def put_next_configuration(self) -> None:
        """Put the next version of the configuration in force."""
        self.version += 1
        bodies = [
            make_configuration_body(
                self.version,
                service.name,
                CONNECTION_LIMIT,
                dict.fromkeys(("aged", "own"), MAX_AGE_MS),
                TIMEOUT_MS,
                suffix=service.suffix,
            )
            for service in self.services
        ]
        self.platform.put("op", "config", merge_configuration_bodies(bodies))

    def kill_instances(self) -> None:
        """Kill the process of every instance."""
        for instance in self.instances:
            instance.send_kill()
        for instance in self.instances:
            instance.kill()

    async def _add_instance(self, tasks: TaskGroup, name: str, store: Address) -> None:
        link = FaultProxy(store)
        address = await link.start(tasks)
        self.store_links[name] = link
        settings = {
            "instance": name,
            "availability_zone": "z1",
            "listen": f"{LOOPBACK}:{next(self._ports)}",
            "ready_listen": f"{LOOPBACK}:{next(self._ports)}",
            "peer_listen": f"{LOOPBACK}:{next(self._ports)}",
            "metrics_listen": f"{LOOPBACK}:{next(self._ports)}",
            "store": str(address),
            "duties": str(store),
            "grace_s": SHUTDOWN_GRACE_S,
        }
        instance = InstanceProcess(name, self.folder, settings)
        instance.start()
        self.instances.append(instance)

    def _is_running(self, service: str, database_id: str) -> bool:
        found = self.find_service(service)
        database = None if found is None else found.group.databases.get(database_id)
        return database is not None and database.is_running

    def _is_primary(self, service: str, database_id: str) -> bool:
        found = self.find_service(service)
        primary = None if found is None else found.group.find_primary()
        return primary is not None and primary.database_id == database_id

    def _promote(self, order: FailoverOrder) -> None:
        service = self.find_service(order.service)
        promotion = None if service is None else service.promote(order.database_id)
        self.log.decision(
            "promotion in effect" if promotion else "promotion without effect",
            service=order.service,
            database=order.database_id,
            ordered_by=order.holder,
            token=order.token,
            called_before_s=(self.clock.now() - order.called_at).total_seconds(),
            lost=len(promotion.lost) if promotion else 0,
        )
        if promotion is not None and promotion.lost:
            loss = Loss(order.service, order, promotion, self.clock.now())
            self.losses.append(loss)
            self.record_loss(loss)


def _free_ports() -> Iterator[int]:
    """Yield ports that nobody uses, each once.

    An instance may be down for a while: a port that the system chose could be given to
    an outgoing connection meanwhile.
    """
    first = random.SystemRandom().randint(_LOWEST_PORT, _HIGHEST_PORT)
    for port in (*range(first, _HIGHEST_PORT), *range(_LOWEST_PORT, first)):
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue  # somebody uses it
        yield port

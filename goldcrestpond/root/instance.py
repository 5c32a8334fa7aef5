"""The program on the users' platform, put together."""

import os
import random
import signal
from datetime import timedelta
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute, SocketListener, TaskGroup

from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from ..errors.coded_error import CodedError
from ..frames.accept_connections import accept_connections
from ..platform import database_entry, operator_configuration
from ..platform.caller_server import CallerServer
from ..platform.endpoint_link import open_endpoint_link
from ..platform.failover_client import FailoverClient
from ..platform.http_client import HttpClient
from ..platform.instance_settings import InstanceSettings, load_instance_settings
from ..platform.ready_server import ReadyServer
from ..platform.store_client import StoreClient
from ..platform.store_tables import ConfigurationRowHandler, RegistryRowHandler
from ..relay.holders import Holders
from ..relay.relay_server import RelayServer
from ..serving.caller_session import CallerSession
from ..serving.decision_log import DecisionLog
from ..serving.directory import Directory
from ..serving.leader_monitor import LeaderMonitor
from ..serving.member_updater import MemberUpdater
from ..serving.members import Member
from ..serving.metrics import Metrics
from ..serving.serving_settings import ServingSettings
from ..serving.store_era import StoreEra
from ..serving.table_feed import TableFeed
from ..settings.address import parse_address
from .instance_shutdown import shut_down
from .structured_log import StructuredLog

# An answer that got lost is given up after this and the store client's slack: within
# the 4 s after the end of a disturbance from which on changes must be in force in time.
FEED_WAIT = timedelta(milliseconds=2500)
CONFIGURATION_SPACING = timedelta(milliseconds=50)
# Databases write a heartbeat about once a second each; one call brings several.
REGISTRY_SPACING = timedelta(milliseconds=1000)
# Who leads is proved by the holders; the rest may come later, within a drain's time.
BORROWER_REGISTRY_SPACING = timedelta(milliseconds=2000)
LAPSE_TICK_S = 0.5
SETTINGS_TICK_S = 2.0  # a change without a signal is in force well within seconds
# Of a process's descriptors, what files (200 by the platform), connections to
# databases, holders and the store, and probes may need.
RESERVED_DESCRIPTORS = 800
BACKLOG = 512  # callers that come back all at once after a restart


async def run_instance(path: str) -> None:
    """Serve callers until SIGTERM.

    Parameters
    ----------
    path : str
        Settings file.
    """
    settings = load_instance_settings(path)
    clock = SystemClock()
    log = StructuredLog(settings.instance, clock)
    log.decision(
        "start", process=os.getpid(), availability_zone=settings.availability_zone
    )
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:
            instance = Instance(settings, clock, log, tasks)
            await instance.start()
            tasks.start_soon(_watch_settings, path, instance)
            async for received in signals:
                if received is signal.SIGTERM:
                    break
                instance.reload(path)
            await instance.stop()
            tasks.cancel_scope.cancel()
    log.decision("stop")


async def _watch_settings(path: str, instance: "Instance") -> None:
    """Reload a settings file that changes without a signal."""
    read = Path(path).stat().st_mtime_ns
    while True:
        await anyio.sleep(SETTINGS_TICK_S)
        try:
            changed = Path(path).stat().st_mtime_ns
        except OSError:
            continue  # it is being replaced
        if changed != read:
            read = changed
            instance.reload(path)


class Instance:
    """Everything that one process runs.

    Parameters
    ----------
    settings : InstanceSettings
        Its settings.
    clock : Clock
        Source of time.
    log : DecisionLog
        Sink of decisions.
    tasks : TaskGroup
        Runs all of it.

    Attributes
    ----------
    directory : Directory
        Routes and services in force.
    callers : CallerServer
        Callers that are connected.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        log: DecisionLog,
        tasks: TaskGroup,
    ):
        rng = random.Random()
        metrics = Metrics()
        self._settings = settings
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._is_stopping = False
        era = StoreEra(clock, log, metrics)
        store = StoreClient(HttpClient(parse_address(settings.store)), era)
        serving = ServingSettings(
            settings.instance,
            settings.availability_zone,
            drain_limit=timedelta(milliseconds=settings.drain_limit_ms),
        )
        self._serving = serving
        holders = Holders(settings.instance, clock, tasks, log)
        self.directory = Directory(
            serving, open_endpoint_link, clock, rng, log, metrics, tasks, holders
        )
        member = Member(
            settings.instance,
            settings.availability_zone,
            parse_address(settings.peer_listen),
            settings.link_mbps,
        )
        failover = None
        if settings.duties:
            http = HttpClient(parse_address(settings.duties))
            failover = FailoverClient(http, settings.instance)
        self._relay = RelayServer(self.directory)
        self._members = MemberUpdater(
            member, store, era, self.directory, clock, rng, log
        )
        self._succession = LeaderMonitor(
            settings.instance,
            self.directory,
            store,
            era,
            failover,
            open_endpoint_link,
            clock,
            rng,
            log,
            tasks,
        )
        configuration = ConfigurationRowHandler(self.directory, log)
        registry = RegistryRowHandler(self.directory, era, clock, log)
        self._configuration_feed = TableFeed(
            store,
            operator_configuration.TABLE,
            lambda: CONFIGURATION_SPACING,
            FEED_WAIT,
            configuration.apply_rows,
            configuration.apply_rows,
            clock,
            rng,
            log,
        )
        self._registry_feed = TableFeed(
            store,
            database_entry.TABLE,
            self._registry_spacing,
            FEED_WAIT,
            registry.replace,
            registry.update,
            clock,
            rng,
            log,
        )
        self.callers = CallerServer(
            self.directory,
            self._open_session,
            max(0, settings.descriptor_limit - RESERVED_DESCRIPTORS),
            log,
        )
        self._ready = ReadyServer(self.is_ready, metrics)
        metrics.set_gauges(self._gauges)
        self._listeners: list[SocketListener] = []
        self._rng = rng

    def _registry_spacing(self) -> timedelta:
        if self.directory.holds_any():
            return REGISTRY_SPACING
        return BORROWER_REGISTRY_SPACING

    def reload(self, path: str) -> None:
        """Take in changed settings; keep the old ones if they are not valid.

        Addresses and names stay as they are until the next start.
        """
        try:
            settings = load_instance_settings(path)
        except CodedError as error:
            self._log.decision("settings refused", detail=error.detail)
            return
        self._settings = settings
        self._serving.drain_limit = timedelta(milliseconds=settings.drain_limit_ms)
        self._log.decision(
            "settings reloaded",
            drain_limit_ms=settings.drain_limit_ms,
            grace_s=settings.grace_s,
        )

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        tasks = self._tasks
        for feed in (self._configuration_feed, self._registry_feed):
            tasks.start_soon(feed.run)
        tasks.start_soon(self._members.run)
        tasks.start_soon(self._succession.run)
        tasks.start_soon(self._forget_lapsed)
        await self._listen(self._settings.ready_listen, self._ready.serve_connection)
        await self._listen(self._settings.metrics_listen, self._ready.serve_connection)
        await self._listen(self._settings.peer_listen, self._relay.serve_connection)
        await self._listen(self._settings.listen, self.callers.serve_connection)

    async def stop(self) -> None:
        """Let what runs end, within the grace period."""
        self._is_stopping = True
        self._log.decision("stopping", callers=self.callers.caller_count)
        await self._members.leave()
        await shut_down(self.callers, self._settings.grace_s, self._clock, self._log)
        await self.directory.aclose()

    @property
    def caller_address(self) -> tuple[str, int]:
        """Where callers connect."""
        return self._listeners[-1].extra(SocketAttribute.local_address)

    async def _listen(self, address_text: str, serve_connection) -> None:
        address = parse_address(address_text)
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=BACKLOG
        )
        self._listeners.append(listener)
        self._tasks.start_soon(
            accept_connections,
            listener,
            serve_connection,
            self._tasks,
            self._not_accepted,
        )

    def _not_accepted(self, error: OSError) -> None:
        self._log.decision(
            "connection not accepted",
            detail=str(error),
            callers=self.callers.caller_count,
        )

    def _open_session(self, key: str, database: str) -> CallerSession:
        return CallerSession(
            key, database, self.directory, self._clock, self._rng, self._log
        )

    def is_ready(self) -> bool:
        """Return whether new callers may come."""
        return not self._is_stopping and self.directory.table.version > 0

    def _gauges(self) -> dict[str, float]:
        feeds = {
            "configuration": self._configuration_feed,
            "registry": self._registry_feed,
        }
        reached = {
            f'store_reachable{{table="{name}"}}': int(feed.is_reachable)
            for name, feed in feeds.items()
        }
        ages = {
            f'store_confirmed_age_ms{{table="{name}"}}': age / timedelta(milliseconds=1)
            for name, feed in feeds.items()
            if (age := feed.confirmed_age()) is not None
        }
        callers = {
            "process": os.getpid(),
            "callers": self.callers.caller_count,
            "message_bytes": self.callers.budget.used_bytes,
            "open_transactions": self.callers.open_transaction_count,
        }
        return {**self.directory.gauges(), **reached, **ages, **callers}

    async def _forget_lapsed(self) -> None:
        while True:
            await anyio.sleep(LAPSE_TICK_S)
            self.directory.remove_unlisted()

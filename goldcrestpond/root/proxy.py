"""Creates and runs a proxy process."""

import logging
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from datetime import timedelta

import anyio
from anyio.abc import SocketAttribute

from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from ..endpoint.cancel_statement import cancel_statement
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..events.recorder import EventRecorder
from ..peer.peer_node import PeerNode
from ..settings.address import Address, parse_address
from ..settings.proxy_settings import ProxySettings
from ..store.configuration_source import ConfigurationSource
from ..store.http_platform import HttpPlatform
from ..store.platform import Platform
from ..tasks.supervised_tasks import (
    ReportTaskError,
    SupervisedTasks,
    log_task_error,
)
from ..wire.caller_server import CallerServer
from ..wire.checkout import Checkout
from ..wire.session_limits import SessionLimits
from ..wire.session_metrics import SessionMetrics, StatsClient
from .api import serve_api
from .caller_access import make_caller_access
from .drain_reconciler import DrainReconciler
from .event_sink import open_event_sink
from .graceful_shutdown import GracefulShutdown
from .group_services import GroupServices
from .peers import make_peer_node
from .process_gauges import Gauge, report_gauges
from .retry_budgets import RetryBudgets
from .stats import make_stats

# Reads of the configuration table run concurrently, so they may be slow.
_TABLE_READ_TIMEOUT = timedelta(seconds=8)
_BACKLOG = 1024  # callers that reconnect at the same time after a failure
_RELEASE_TIMEOUT_S = 2  # shares that are not released expire with their lease
_log = logging.getLogger("goldcrestpond.root")


@dataclass(frozen=True, slots=True)
class Proxy:
    """A running proxy.

    Attributes
    ----------
    address : Address
        Address on which the proxy accepts callers.
    callers : CallerServer
        Server of the connected callers.
    services : GroupServices
        Services of the database groups.
    configuration : ConfigurationSource
        Source of the configuration.
    metrics : SessionMetrics
        Metrics of the callers' sessions.
    shutdown : GracefulShutdown
        Shuts the proxy down after its work in flight has ended.
    peers : PeerNode
        Node that communicates with the other instances.
    api : Address or None
        Address of its resource API, if it serves one.
    """

    address: Address
    callers: CallerServer
    services: GroupServices
    configuration: ConfigurationSource
    metrics: SessionMetrics
    shutdown: GracefulShutdown
    peers: PeerNode
    api: Address | None = None


@asynccontextmanager
async def run_proxy(
    settings: ProxySettings, clock: Clock | None = None, seed: int | None = None
) -> AsyncIterator[Proxy]:
    """Run a proxy while the context is open.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the process.
    clock : Clock, optional
        Source of time; the system clock by default.
    seed : int, optional
        Seed of the random generator; random by default.

    Raises
    ------
    CodedError
        SETTINGS_INVALID or ADDRESS_IN_USE.
    """
    clock = clock or SystemClock()
    rng = random.Random(seed)
    platform_address = parse_address(settings.platform)
    platform = HttpPlatform(platform_address)
    slow_platform = HttpPlatform(platform_address, _TABLE_READ_TIMEOUT)
    with open_event_sink(settings.events_file) as write_line:
        events = EventRecorder(settings.instance, clock, write_line)
        stats = make_stats(settings.statsd, settings.instance)
        async with platform, slow_platform, anyio.create_task_group() as task_group:
            tasks = SupervisedTasks(task_group, _make_task_error_report(stats))
            source = ConfigurationSource(
                slow_platform,
                clock,
                rng,
                settings.instance,
                lambda: peers.live_names,
                lambda: peers.known_instance_count,
            )
            peers = make_peer_node(settings, source, platform, clock, rng, events)
            source.subscribe(lambda _: peers.announce_configuration())
            services = GroupServices(
                settings, platform, source.wait_confirmed, clock, rng, events, tasks
            )
            source.subscribe(services.apply)
            drain_reconciler = DrainReconciler(
                settings.instance, services, platform, clock, events
            )
            source.subscribe(drain_reconciler.apply)
            tasks.start_loop(drain_reconciler.run)
            proxy = await _listen(
                settings, clock, rng, stats, events, source, services, peers, tasks
            )
            if settings.peer_listen:
                await task_group.start(peers.run)
            await task_group.start(source.run)
            tasks.start_loop(report_gauges, stats, _make_gauges(proxy))
            events.record("root", "started", address=proxy.address)
            async with _serve_api_in_process(
                settings, slow_platform, proxy, rng
            ) as api:
                yield replace(proxy, api=api)
            with anyio.move_on_after(_RELEASE_TIMEOUT_S):
                await _release_shares(services)
            events.record("root", "stopped")
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def _serve_api_in_process(
    settings: ProxySettings, platform: Platform, proxy: Proxy, rng: random.Random
) -> AsyncIterator[Address | None]:
    if not settings.api_listen:
        yield None
        return
    address = parse_address(settings.api_listen)
    source, in_force = proxy.configuration, proxy.peers.in_force
    tokens = settings.api_tokens
    async with serve_api(
        address, platform, source, in_force, tokens, rng
    ) as listen_address:
        yield listen_address


async def _release_shares(services: GroupServices) -> None:
    try:
        await services.aclose()
    except CodedError as error:
        _log.info("root: shares of connections could not be released: %s", error)


async def _listen(
    settings: ProxySettings,
    clock: Clock,
    rng: random.Random,
    stats: StatsClient,
    events: EventRecorder,
    source: ConfigurationSource,
    services: GroupServices,
    peers: PeerNode,
    tasks: SupervisedTasks,
) -> Proxy:
    metrics = SessionMetrics(stats, settings.metrics_sample_rate)
    callers = CallerServer(
        settings.instance,
        source.wait_confirmed,
        services.find,
        lambda checkout: _start_cancel_statement(tasks, checkout),
        _make_session_limits(settings),
        settings.caller_limit,
        clock,
        metrics,
        events,
        make_caller_access(settings),
        RetryBudgets(clock, rng).start_attempts,
    )
    listener = await _open_listener(parse_address(settings.listen))
    host, port = listener.extra(SocketAttribute.local_address)[:2]
    tasks.start_soon(callers.serve, listener, tasks)
    timeout = timedelta(milliseconds=settings.shutdown_timeout_ms)
    shutdown = GracefulShutdown(callers, timeout, clock, events)
    address = Address(host, port)
    return Proxy(address, callers, services, source, metrics, shutdown, peers)


def _make_gauges(proxy: Proxy) -> list[Gauge]:
    return [
        Gauge("callers", lambda: proxy.callers.caller_count),
        Gauge("groups", lambda: proxy.services.count),
        Gauge("groups_without_primary", lambda: proxy.services.count_without_primary),
        Gauge("configuration_revision", lambda: proxy.configuration.current.revision),
        Gauge("store_reachable", lambda: float(proxy.configuration.store_reachable)),
        Gauge("live_instances", lambda: len(proxy.peers.live_names)),
        Gauge("peer_malformed", lambda: proxy.peers.malformed_count),
    ]


def _make_task_error_report(stats: StatsClient) -> ReportTaskError:
    def report(task: str, task_input: str, error: Exception) -> None:
        stats.incr("task_errors")
        log_task_error(task, task_input, error)

    return report


async def _open_listener(address: Address) -> anyio.abc.Listener:
    try:
        return await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=_BACKLOG
        )
    except OSError as error:
        raise CodedError(ResultCode.ADDRESS_IN_USE, f"{address}: {error}") from error


def _start_cancel_statement(tasks: SupervisedTasks, checkout: Checkout) -> None:
    tasks.start_soon(cancel_statement, checkout.connection)


def _make_session_limits(settings: ProxySettings) -> SessionLimits:
    return SessionLimits(
        frame_limit_bytes=settings.frame_limit_bytes,
        batch_limit_bytes=settings.batch_limit_bytes,
        startup_timeout=timedelta(milliseconds=settings.startup_timeout_ms),
        acknowledge_timeout=timedelta(milliseconds=settings.acknowledge_timeout_ms),
        idle_transaction_timeout=timedelta(
            milliseconds=settings.idle_transaction_timeout_ms
        ),
    )

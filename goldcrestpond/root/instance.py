"""Creates and runs a proxy instance on the users' platform."""

import os
import random
import signal
import traceback
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute, TaskGroup

from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from ..errors.coded_error import CodedError
from ..frames.accept_connections import accept_connections
from ..overload.admission import Admission
from ..platform import database_entry, operator_configuration
from ..platform.caller_server import CallerServer
from ..platform.endpoint_link import open_endpoint_link
from ..platform.failover_client import FailoverClient
from ..platform.http_client import HttpClient
from ..platform.instance_settings import InstanceSettings, load_instance_settings
from ..platform.ready_server import ReadyServer
from ..platform.store_client import StoreClient
from ..platform.store_tables import (
    ConfigurationRowHandler,
    RegistryRowHandler,
    replace_keys_in_row,
)
from ..rates.rate_bound import RateBound
from ..rates.rate_meter import RateMeter
from ..relay import messages
from ..relay.holders import Holders, send_request
from ..relay.relay_server import RelayServer
from ..relay.statement_relay import StatementRelay
from ..serving.caller_session import CallerSession
from ..serving.decision_log import DecisionLog
from ..serving.directory import Directory
from ..serving.fleet_protocol import PROTOCOL
from ..serving.follower_list import FollowerList
from ..serving.identity_check import IdentityCheck
from ..serving.leader_monitor import LeaderMonitor
from ..serving.member_updater import MemberUpdater
from ..serving.members import TABLE as MEMBER_TABLE
from ..serving.members import Member
from ..serving.metrics import Metrics
from ..serving.proven_age import ProvenAge, compute_proof_limit
from ..serving.row_store import RowStore, StoredRow
from ..serving.serving_settings import ServingSettings
from ..serving.store_era import StoreEra
from ..serving.table_copy import TableCopy
from ..serving.table_feed import TableFeed
from ..settings.address import Address, parse_address
from ..tables.table_follower import TableFollower
from ..tables.table_server import TableServer
from ..tables.table_times import TableTimes, make_table_times
from ..tasks.supervised_tasks import SupervisedTasks
from .instance_shutdown import shut_down
from .structured_log import StructuredLog

# The members of a fleet change seldom. Used where the age of this table isn't limited.
MEMBER_FEED_WAIT = timedelta(seconds=4)
# Minimum time between two reads of a feed.
CONFIGURATION_SPACING = timedelta(milliseconds=50)
# Minimum time between two reads of the members.
MEMBER_SPACING = timedelta(milliseconds=250)
SUSPICION_SPACING = timedelta(milliseconds=50)
SUSPICION_FEED_WAIT = timedelta(seconds=12)
# Each database writes a heartbeat about once a second; one call returns several.
REGISTRY_SPACING = timedelta(milliseconds=1000)
# Of the time after which a draining database must get no new work.
REGISTRY_AGE_FRACTION = 1 / 2
_SPACINGS = {
    "configuration": CONFIGURATION_SPACING,
    "registry": REGISTRY_SPACING,
    "members": MEMBER_SPACING,
    "suspicions": SUSPICION_SPACING,
}
UNLISTED_CHECK_INTERVAL_S = 0.5
ABSENT_CHECK_INTERVAL_S = 0.5
# Several times within the greatest age of the tables by which rates are spent.
RATE_OBSERVATION_INTERVAL_S = 0.25
# Callers are owed what a former limit allows until a change must be in force; a lower
# one is applied this part of that time after it is known here. The rest is for the way
# of the change to an instance in touch.
LOWER_LIMIT_DELAY_FRACTION = 0.5
SETTINGS_POLL_INTERVAL_S = 2.0  # a changed file applies within seconds without SIGHUP
# Between connections that are opened at a database before they are needed.
OPEN_AHEAD_INTERVAL_S = 0.5
# File descriptors that callers may not use: for files (200 according to the platform),
# for connections to databases, holders and the store, and for probes.
RESERVED_DESCRIPTORS = 800
# An instance that is leaving hands its organisations over after this time at the
# latest, also if the store doesn't answer. Changed followers are written each second.
LEAVE_LIMIT_S = 1.5
TRACE_LINE_LIMIT = 4  # the innermost calls and the error itself
BACKLOG = 512  # callers that reconnect at the same time after a restart


async def run_instance(path: str, started_at: timedelta) -> None:
    """Serve callers until SIGTERM; reload the settings on SIGHUP.

    Parameters
    ----------
    path : str
        Path of the settings file.
    started_at : timedelta
        When the process started, by the system's clock.
    """
    settings = load_instance_settings(path)
    clock = SystemClock()
    log = StructuredLog(settings.instance, clock)
    log.decision(
        "start", process=os.getpid(), availability_zone=settings.availability_zone
    )
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:
            instance = Instance(settings, clock, log, tasks, started_at)
            await instance.start()
            instance.watch_settings(path)
            async for received_signal in signals:
                if received_signal is signal.SIGTERM:
                    break
                instance.reload(path)
            await instance.stop()
            tasks.cancel_scope.cancel()
    log.decision("stop")


async def _watch_settings(path: str, instance: "Instance") -> None:
    """Reload the settings file when its modification time changes."""
    loaded_mtime_ns = Path(path).stat().st_mtime_ns
    while True:
        await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
        try:
            mtime_ns = Path(path).stat().st_mtime_ns
        except OSError:
            continue  # it is being replaced
        if mtime_ns != loaded_mtime_ns:
            loaded_mtime_ns = mtime_ns
            instance.reload(path)


class _RateSettings(NamedTuple):
    """Bound of the rates, and greatest age of the tables; None without rates."""

    bound: RateBound
    proof_limit: timedelta | None


class Instance:
    """The servers, store feeds and background tasks of one instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    clock : Clock
        Source of time.
    log : DecisionLog
        Sink of logged decisions.
    tasks : TaskGroup
        Runs the servers and background tasks.
    started_at : timedelta or None, default=None
        When the process started; None if that is now.

    Attributes
    ----------
    directory : Directory
        Routes, services and databases that this instance knows.
    callers : CallerServer
        Server of the connected callers.
    caller_address : tuple of str and int
        Host and port to which callers connect, once it listens.
    peer_address : Address
        Where other instances connect.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        log: DecisionLog,
        tasks: TaskGroup,
        started_at: timedelta | None = None,
    ):
        started_at = clock.now() if started_at is None else started_at
        rng = random.Random()
        metrics = Metrics()
        self._settings = settings
        self._clock = clock
        self._log = log
        self._metrics = metrics
        tasks = SupervisedTasks(tasks, self._report_task_error)
        self._tasks = tasks
        self._is_stopping = False
        era = StoreEra(clock, log, metrics)
        store = StoreClient(HttpClient(parse_address(settings.store)), era)
        serving_settings = ServingSettings(
            settings.instance,
            settings.availability_zone,
            drain_limit=timedelta(milliseconds=settings.drain_limit_ms),
            proof_limit=_proof_limit(settings),
            is_paced=settings.paced,
        )
        self._serving_settings = serving_settings
        holders = Holders(settings.instance, clock, tasks, log)
        self.directory = Directory(
            serving_settings,
            open_endpoint_link,
            clock,
            rng,
            log,
            metrics,
            tasks,
            holders,
        )
        member = Member(
            settings.instance,
            settings.availability_zone,
            parse_address(settings.peer_listen),
            settings.link_mbps,
            PROTOCOL,
        )
        failover = None
        if settings.duties:
            http = HttpClient(parse_address(settings.duties))
            failover = FailoverClient(http, settings.instance)
        followers = self._followers = FollowerList()
        self._member_updater = MemberUpdater(
            member,
            store,
            era,
            self._set_members,
            followers,
            lambda: self._table_follower.lists_followers,
            lambda: self._table_follower.is_reading,
            clock,
            rng,
            log,
        )
        self._leader_monitor = LeaderMonitor(
            settings.instance,
            self.directory,
            store,
            era,
            failover,
            open_endpoint_link,
            clock,
            log,
            tasks,
        )
        configuration_handler = ConfigurationRowHandler(
            self.directory, log, lambda: copies["configuration"].confirmed_at
        )
        self._identity_proof = ProvenAge(
            serving_settings.proof_limit,
            lambda: configuration_handler.age(clock.now()),
        )
        # Homes of organisations rest on the members.
        self._member_proof = ProvenAge(
            serving_settings.proof_limit, lambda: copies["members"].age(clock.now())
        )
        # Rates rest on both, by the limit at the start or a smaller one.
        self._rate_settings = _read_rate_settings(settings)
        self._rate_proof = ProvenAge(
            self._rate_settings.proof_limit,
            lambda: _greater_age(
                configuration_handler.age(clock.now()),
                copies["members"].age(clock.now()),
            ),
        )
        self._identity = IdentityCheck(
            lambda: self.directory.table, self._identity_proof, log, metrics
        )
        self.directory.admission.is_proven = self._may_serve_organisations
        if self._rate_settings.proof_limit is not None:
            self.directory.admission.meter = RateMeter(
                self._rate_settings.bound,
                self._rate_settings.proof_limit,
                self._may_serve_organisations,
                log,
                self._rate_proof.age,
                self.directory.state_version,
                timedelta(milliseconds=settings.apply_limit_ms)
                * LOWER_LIMIT_DELAY_FRACTION,
                started_at,
            )
        registry_handler = RegistryRowHandler(
            self.directory,
            era,
            clock,
            log,
            lambda: copies["registry"].confirmed_at,
        )
        times = _table_times(settings, self._rate_proof.limit)
        copies = {
            "configuration": TableCopy(
                operator_configuration.TABLE,
                configuration_handler.apply_rows,
                configuration_handler.apply_rows,
                offer=configuration_handler.offer_rows,
                is_older=operator_configuration.is_older,
            ),
            "registry": TableCopy(
                database_entry.TABLE,
                registry_handler.replace,
                registry_handler.update,
                is_same=database_entry.is_heartbeat,
            ),
            "members": TableCopy(
                MEMBER_TABLE,
                lambda rows: self._member_updater.replace(
                    rows, copies["members"].version
                ),
                self._member_updater.update,
            ),
            "suspicions": self._leader_monitor.suspicions_copy,
        }
        waits = _feed_waits(times)
        self._feeds = {
            name: _make_feed(
                store,
                copies[name],
                _SPACINGS[name],
                waits[name],
                clock,
                rng,
                log,
                replace_keys_in_row if name == "configuration" else _keep_row,
                times.is_proof_limited,
            )
            for name in copies
        }
        self._table_follower = TableFollower(
            lambda: self._member_updater.member,
            lambda: self._member_updater.live,
            list(self._feeds.values()),
            _age_limits(settings, times),
            operator_configuration.TABLE,
            MEMBER_TABLE,
            lambda peer, request, limit: send_request(
                holders.peer(peer), request, limit, messages.Followed
            ),
            followers,
            era,
            times,
            clock,
            rng,
            log,
            metrics,
            tasks,
        )
        table_server = TableServer(
            list(copies.values()),
            followers,
            lambda: self._table_follower.reader,
            clock,
            log,
        )
        self._table_follower.on_reader_change = table_server.notify
        self._admission = Admission(clock, tasks)
        self._relay_server = RelayServer(
            self.directory, table_server.answer, self._admission
        )
        self._statement_relay = StatementRelay(
            self.directory, settings.availability_zone, clock, rng
        )
        self.callers = CallerServer(
            self.directory,
            self._open_session,
            max(0, settings.descriptor_limit - RESERVED_DESCRIPTORS),
            log,
        )
        self._ready_server = ReadyServer(self.is_ready, metrics)
        self._member_updater.on_status_change = self._apply_members
        self.directory.read_members_version = lambda: self._member_updater.rows_version
        metrics.set_gauges(self._read_gauges)
        self.peer_address = parse_address(settings.peer_listen)
        self.caller_address = ("", 0)
        self._rng = rng

    def _may_serve_organisations(self) -> bool:
        """Return whether homes and keys, as this instance knows them, are current."""
        proofs = (self._identity_proof, self._member_proof, self._rate_proof)
        return all(proof.is_proven() for proof in proofs)

    async def _stop_serving_in_time(self) -> None:
        await anyio.sleep(LEAVE_LIMIT_S)
        self.directory.stop_serving_organisations()

    def _set_members(self, members: list[Member]) -> None:
        self._apply_members()
        self._table_follower.notify_members()

    def _apply_members(self) -> None:
        updater = self._member_updater
        self.directory.set_members(updater.live, updater.absent, updater.is_listed)

    def reload(self, path: str) -> None:
        """Apply changed settings; keep the present ones if the new ones are invalid.

        Changed addresses, names and rate settings apply only at the next start. Until
        then rates are spent by tables younger than the former and the new limit.
        """
        try:
            settings = load_instance_settings(path)
        except CodedError as error:
            self._log.decision("settings refused", detail=error.detail)
            return
        rate_settings = _read_rate_settings(settings)
        if rate_settings != self._rate_settings:
            self._log.decision(
                "rate settings apply at the next start",
                present=str(self._rate_settings),
                new=str(rate_settings),
            )
        self._settings = settings
        self._serving_settings.drain_limit = timedelta(
            milliseconds=settings.drain_limit_ms
        )
        self._apply_table_times(settings)
        self._log.decision(
            "settings reloaded",
            drain_limit_ms=settings.drain_limit_ms,
            grace_s=settings.grace_s,
            revoke_limit_ms=settings.revoke_limit_ms,
        )

    def _apply_table_times(self, settings: InstanceSettings) -> None:
        proof_limit = _proof_limit(settings)
        self._serving_settings.proof_limit = proof_limit
        self._identity_proof.limit = proof_limit
        self._member_proof.limit = proof_limit
        if self._rate_settings.proof_limit is not None:
            rate_limit = min(
                _rate_proof_limit(settings), self._rate_settings.proof_limit
            )
            self._rate_proof.limit = rate_limit
        times = _table_times(settings, self._rate_proof.limit)
        self._table_follower.set_times(times, _age_limits(settings, times))
        for name, wait in _feed_waits(times).items():
            self._feeds[name].set_wait(wait, times.is_proof_limited)

    def watch_settings(self, path: str) -> None:
        """Reload the settings file whenever it changes without SIGHUP."""
        self._tasks.start_loop(_watch_settings, path, self)

    async def start(self) -> None:
        """Start listening and start following the store."""
        tasks = self._tasks
        self.peer_address = await self._listen(
            self._settings.peer_listen, self._relay_server.serve_connection
        )
        self._member_updater.set_address(self.peer_address)
        tasks.start_loop(self._table_follower.run)
        tasks.start_loop(self._member_updater.run)
        tasks.start_loop(self._leader_monitor.run)
        tasks.start_loop(self._remove_unlisted_periodically)
        tasks.start_loop(self._mark_absent_periodically)
        tasks.start_loop(self._observe_rates_periodically)
        tasks.start_loop(self._open_ahead_periodically)
        await self._listen(
            self._settings.ready_listen, self._ready_server.serve_connection
        )
        await self._listen(
            self._settings.metrics_listen, self._ready_server.serve_connection
        )
        address = await self._listen(
            self._settings.listen, self.callers.serve_connection
        )
        self.caller_address = (address.host, address.port)

    async def stop(self) -> None:
        """Let running work end within the grace period, then close all connections."""
        self._is_stopping = True
        self._log.decision("stopping", callers=self.callers.caller_count)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._table_follower.leave)
            tasks.start_soon(self._member_updater.leave)
        self._tasks.start_soon(self._stop_serving_in_time)
        await shut_down(
            self.callers,
            self._relay_server,
            self._admission,
            self._leader_monitor,
            self._settings.grace_s,
            self._clock,
            self._log,
        )
        await self.directory.aclose()

    async def _listen(self, address_text: str, serve_connection) -> Address:
        """Serve connections; return the address, with the port if it was 0."""
        address = parse_address(address_text)
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=BACKLOG
        )
        self._tasks.start_loop(
            accept_connections,
            listener,
            serve_connection,
            self._tasks,
            self._log_accept_error,
        )
        return Address(*listener.extra(SocketAttribute.local_address)[:2])

    def _report_task_error(self, task: str, task_input: str, error: Exception) -> None:
        self._log.decision(
            "task failed",
            task=task,
            input=task_input,
            error=repr(error),
            trace="".join(traceback.format_exception(error)[-TRACE_LINE_LIMIT:]),
        )
        self._metrics.count("task_errors_total", task=task)

    def _log_accept_error(self, error: OSError) -> None:
        self._log.decision(
            "connection not accepted",
            detail=str(error),
            callers=self.callers.caller_count,
        )

    def _open_session(
        self, key: str, database: str, key_digest: bytes
    ) -> CallerSession:
        return CallerSession(
            key,
            database,
            key_digest,
            self._identity,
            self.directory,
            self._statement_relay,
            self._admission,
            self._clock,
            self._rng,
            self._log,
        )

    def render_metrics(self) -> bytes:
        """Return the metrics as text."""
        return self._metrics.render()

    def is_ready(self) -> bool:
        """Return whether the instance is ready to serve new callers."""
        if self._is_stopping or not self._table_follower.is_started:
            return False
        return self.directory.table.version > 0

    def _read_gauges(self) -> dict[str, float]:
        is_reading = self._table_follower.is_reading
        reached = {
            f'store_reachable{{table="{name}"}}': int(feed.is_reachable)
            for name, feed in self._feeds.items()
            if is_reading
        }
        ages = {
            f'store_confirmed_age_ms{{table="{name}"}}': age / timedelta(milliseconds=1)
            for name, feed in self._feeds.items()
            if (age := feed.confirmed_age()) is not None
        }
        callers = {
            "process": os.getpid(),
            "reads_store": int(is_reading),
            "followers": len(self._followers.live(self._clock.now())),
            "callers": self.callers.caller_count,
            "message_bytes": self.callers.budget.used_bytes,
            "open_transactions": self.callers.open_transaction_count,
            **self._admission.gauges(),
        }
        if self._identity_proof.limit is not None:
            callers["identity_proven"] = int(self._identity_proof.is_proven())
            callers["members_proven"] = int(self._member_proof.is_proven())
        return {**self.directory.gauges(), **reached, **ages, **callers}

    async def _mark_absent_periodically(self) -> None:
        while not self._is_stopping:
            await anyio.sleep(ABSENT_CHECK_INTERVAL_S)
            for name, silence in self.directory.silent_homes():
                await self._member_updater.mark_absent(name, silence)

    async def _remove_unlisted_periodically(self) -> None:
        while True:
            await anyio.sleep(UNLISTED_CHECK_INTERVAL_S)
            self.directory.remove_unlisted()

    async def _open_ahead_periodically(self) -> None:
        while not self._is_stopping:
            await anyio.sleep(OPEN_AHEAD_INTERVAL_S)
            self.directory.open_ahead()

    async def _observe_rates_periodically(self) -> None:
        while True:
            await anyio.sleep(RATE_OBSERVATION_INTERVAL_S)
            self.directory.admission.observe()


def _make_feed(
    store: RowStore,
    copy: TableCopy,
    spacing: timedelta,
    wait: timedelta,
    clock: Clock,
    rng: random.Random,
    log: DecisionLog,
    translate: Callable[[StoredRow], StoredRow],
    confirms_first: bool,
) -> TableFeed:
    return TableFeed(
        store,
        copy,
        lambda: spacing,
        wait,
        clock,
        rng,
        log,
        translate,
        confirms_first,
    )


def _keep_row(row: StoredRow) -> StoredRow:
    return row


def _rate_proof_limit(settings: InstanceSettings) -> timedelta:
    """Return how old the tables may be by which rates are spent.

    Where keys may be used without a proof, the time within which a change must be in
    force.
    """
    apply_limit = timedelta(milliseconds=settings.apply_limit_ms)
    return _proof_limit(settings) or apply_limit


def _read_rate_settings(settings: InstanceSettings) -> _RateSettings:
    window = timedelta(seconds=settings.rate_window_s)
    bound = RateBound(window, settings.rate_overage, settings.rate_slack)
    return _RateSettings(bound, _rate_proof_limit(settings) if window else None)


def _greater_age(*ages: timedelta | None) -> timedelta | None:
    return None if None in ages else max(ages)


def _proof_limit(settings: InstanceSettings) -> timedelta | None:
    return compute_proof_limit(timedelta(milliseconds=settings.revoke_limit_ms))


def _table_times(
    settings: InstanceSettings, rate_limit: timedelta | None
) -> TableTimes:
    """Return the times for tables that may be as old as rates, or else keys, allow."""
    apply_limit = timedelta(milliseconds=settings.apply_limit_ms)
    limits = [each for each in (rate_limit, _proof_limit(settings)) if each is not None]
    return make_table_times(apply_limit, min(limits, default=None))


def _feed_waits(times: TableTimes) -> dict[str, timedelta]:
    """Return how long the store may wait for a change of each table."""
    # Homes of organisations rest on the members, whose age is limited then.
    is_age_limited = times.is_proof_limited
    return {
        "configuration": times.store_wait,
        "registry": times.store_wait,
        "members": times.store_wait if is_age_limited else MEMBER_FEED_WAIT,
        "suspicions": SUSPICION_FEED_WAIT,
    }


def _age_limits(settings: InstanceSettings, times: TableTimes) -> dict[str, timedelta]:
    """Return the age of each limited table at which an instance reads the store."""
    drain_limit = timedelta(milliseconds=settings.drain_limit_ms)
    limits = {
        operator_configuration.TABLE: times.max_age,
        database_entry.TABLE: drain_limit * REGISTRY_AGE_FRACTION,
    }
    if times.is_proof_limited:
        limits[MEMBER_TABLE] = times.max_age
    return limits

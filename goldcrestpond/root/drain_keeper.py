"""Drains the endpoints that are leaving."""

import logging
from dataclasses import dataclass
from datetime import timedelta

import anyio
import msgspec

from ..clock.clock import Clock
from ..configuration.configuration import Configuration
from ..drain.drain_action import DrainAction
from ..drain.drain_keys import drain_progress_key
from ..drain.drain_phase import DrainPhase
from ..drain.drain_progress import DrainProgress
from ..drain.endpoint_drain import EndpointDrain
from ..errors.coded_error import CodedError
from ..events.recorder import EventRecorder
from ..store.platform import Platform
from ..store.platform_conflict import PlatformConflict
from .group_services import GroupServices

_TICK_S = 0.1  # how soon the end of the last statement is noticed
# The list is asked once in this time, so that a leaving endpoint has no new
# work 3 s after the list has named it.
_LIST_INTERVAL_S = 1.0
# An endpoint that the list names as leaving has no deadline of an order.
_LISTED_DEADLINE = timedelta(seconds=30)
_LEAVING = "leaving"
_log = logging.getLogger("goldcrestpond.root")


@dataclass(slots=True, eq=False)
class _Drain:
    """One endpoint that is leaving."""

    group: str
    database: str
    decisions: EndpointDrain
    order: str = ""  # empty if the instance list named it
    reported: DrainProgress | None = None
    revision: int = 0


class DrainKeeper:
    """Drains by order and by the platform's list.

    Parameters
    ----------
    instance : str
        Name of this instance.
    services : GroupServices
        Services of the groups.
    platform : Platform
        The platform's service.
    clock : Clock
        Source of monotonic readings.
    events : EventRecorder
        Time line.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_drains",
        "_events",
        "_instance",
        "_listed",
        "_platform",
        "_services",
        "_withdrawn",
    )

    def __init__(
        self,
        instance: str,
        services: GroupServices,
        platform: Platform,
        clock: Clock,
        events: EventRecorder,
    ):
        self._instance = instance
        self._services = services
        self._platform = platform
        self._clock = clock
        self._events = events
        self._configuration = Configuration()
        self._drains: dict[str, _Drain] = {}
        self._listed: frozenset[str] = frozenset()
        self._withdrawn: list[_Drain] = []

    def apply(self, configuration: Configuration) -> None:
        """Take the drain orders of a configuration."""
        self._configuration = configuration
        self._reconcile()

    async def run(self) -> None:
        """Drain until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_list)
            while True:
                if self._drains:
                    self._tell_monitors()  # some may have begun meanwhile
                self._tick()
                await self._report()
                await anyio.sleep(_TICK_S)

    async def _watch_list(self) -> None:
        while True:
            try:
                entries = await self._platform.instances()
                leaving = (e.address for e in entries if e.state == _LEAVING)
                self._listed = frozenset(leaving)
                self._reconcile()
            except CodedError as error:
                _log.info("drain: the instance list is not known: %s", error)
            await anyio.sleep(_LIST_INTERVAL_S)

    def _reconcile(self) -> None:
        wanted = self._wanted()
        for key in self._drains.keys() - wanted.keys():
            self._withdraw(self._drains.pop(key))
        for key in wanted.keys() - self._drains.keys():
            drain = wanted[key]
            self._drains[key] = drain
            self._record("drain_started", drain)
        self._tell_monitors()
        self._tick()

    def _wanted(self) -> dict[str, _Drain]:
        now = self._clock.now()
        wanted = {}
        for group, spec in self._configuration.groups.items():
            for database in spec.databases:
                if database.address in self._listed:
                    decisions = EndpointDrain(now, _LISTED_DEADLINE)
                    drain = _Drain(group, database.name, decisions)
                    wanted[f"list/{group}/{database.name}"] = drain
        for name, order in self._configuration.drain_orders.items():
            deadline = timedelta(milliseconds=order.deadline_ms)
            decisions = EndpointDrain(now, deadline)
            key = f"order/{name}/{order.group}/{order.database}/{order.deadline_ms}"
            wanted[key] = _Drain(order.group, order.database, decisions, name)
        return wanted

    def _tell_monitors(self) -> None:
        for group, service in self._services.watched().items():
            drained = {d.database for d in self._drains.values() if d.group == group}
            service.monitor.set_draining(drained)

    def _withdraw(self, drain: _Drain) -> None:
        self._record("drain_withdrawn", drain)
        others = (d.group + "/" + d.database for d in self._drains.values())
        if drain.group + "/" + drain.database not in others:
            pool = self._services.find_pool(drain.group, drain.database)
            if pool is not None:
                pool.stop_draining()
        if drain.reported is not None:
            self._withdrawn.append(drain)

    def _tick(self) -> None:
        for drain in self._drains.values():
            self._advance(drain)

    def _advance(self, drain: _Drain) -> None:
        pool = self._services.find_pool(drain.group, drain.database)
        if pool is None:
            return
        service = self._services.watched()[drain.group]
        primary = service.monitor.primary
        is_primary = primary is not None and primary.database == drain.database
        before = drain.decisions.phase
        actions = drain.decisions.update(
            is_primary, pool.running_count, self._clock.now()
        )
        if drain.decisions.phase is not DrainPhase.HANDOVER and not pool.is_draining:
            pool.start_draining()
        if DrainAction.CLOSE_CONNECTIONS in actions:
            pool.close_all("drain deadline")
        if drain.decisions.phase is not before:
            self._record(f"drain_{drain.decisions.phase}", drain)

    async def _report(self) -> None:
        try:
            for drain in self._drains.values():
                if drain.order:
                    await self._report_progress(drain)
            while self._withdrawn:
                await self._delete_progress(self._withdrawn[0])
                self._withdrawn.pop(0)
        except CodedError as error:
            _log.info("drain: progress not reported: %s", error)

    async def _report_progress(self, drain: _Drain) -> None:
        pool = self._services.find_pool(drain.group, drain.database)
        running = pool.running_count if pool is not None else 0
        progress = DrainProgress(drain.decisions.phase, running)
        if drain.reported is not None and drain.reported.phase is progress.phase:
            return  # counts alone are not worth a write
        key = drain_progress_key(drain.order, self._instance)
        body = msgspec.json.encode(progress)
        try:
            drain.revision = await self._platform.put(key, body, drain.revision)
        except PlatformConflict as conflict:
            drain.revision = conflict.rows[0].revision if conflict.rows[0].value else 0
            drain.revision = await self._platform.put(key, body, drain.revision)
        drain.reported = progress

    async def _delete_progress(self, drain: _Drain) -> None:
        key = drain_progress_key(drain.order, self._instance)
        try:
            await self._platform.delete(key, drain.revision)
        except PlatformConflict:
            _log.info("drain: progress of %s is gone or newer", drain.order)

    def _record(self, event: str, drain: _Drain) -> None:
        self._events.record(
            "drain",
            event,
            group=drain.group,
            database=drain.database,
            order=drain.order,
        )

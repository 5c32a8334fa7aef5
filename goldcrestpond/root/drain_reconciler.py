"""Drains endpoints by drain orders and by the platform's instance list."""

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
from ..tasks.supervised_tasks import SupervisedTasks
from .group_services import GroupServices

_TICK_INTERVAL_S = 0.1  # delay until the end of the last statement is noticed
# Often enough that an endpoint receives no new work 3 s after the instance list
# reports it as leaving.
_LIST_INTERVAL_S = 1.0
# The instance list, unlike a drain order, gives no deadline.
_LISTED_DRAIN_TIMEOUT = timedelta(seconds=30)
_LEAVING_STATE = "leaving"
_log = logging.getLogger("goldcrestpond.root")


@dataclass(slots=True, eq=False)
class _Drain:
    """The drain of one endpoint."""

    group: str
    database: str
    state: EndpointDrain
    order: str = ""  # name of the order; empty for a drain by the instance list
    reported_progress: DrainProgress | None = None
    revision: int = 0  # of the row with the reported progress


class DrainReconciler:
    """Runs the drains that drain orders and the platform's instance list require.

    Drains begin and end as orders and list change. The progress of each ordered
    drain is written to the platform's table.

    Parameters
    ----------
    instance : str
        Name of this instance.
    services : GroupServices
        Services of the groups.
    platform : Platform
        The platform's service.
    clock : Clock
        Source of monotonic time.
    events : EventRecorder
        Recorder of the process's events.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_drains",
        "_events",
        "_instance",
        "_listed_addresses",
        "_platform",
        "_reporting",
        "_services",
        "_withdrawn_drains",
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
        self._listed_addresses: frozenset[str] = frozenset()
        self._withdrawn_drains: list[_Drain] = []
        self._reporting: _Drain | None = None  # its progress is being written

    def apply(self, configuration: Configuration) -> None:
        """Apply the drain orders of a configuration."""
        self._configuration = configuration
        self._reconcile()

    async def run(self) -> None:
        """Run the drains until cancelled."""
        async with anyio.create_task_group() as tasks:
            SupervisedTasks(tasks).start_loop(self._poll_instance_list)
            while True:
                if self._drains:
                    self._update_monitors()  # for monitors started since the last tick
                self._advance_all()
                await self._report_all_progress()
                await anyio.sleep(_TICK_INTERVAL_S)

    async def _poll_instance_list(self) -> None:
        while True:
            try:
                entries = await self._platform.instances()
                leaving_addresses = (
                    e.address for e in entries if e.state == _LEAVING_STATE
                )
                self._listed_addresses = frozenset(leaving_addresses)
                self._reconcile()
            except CodedError as error:
                _log.info("drain: the instance list could not be read: %s", error)
            await anyio.sleep(_LIST_INTERVAL_S)

    def _reconcile(self) -> None:
        required = self._find_drains()
        for key in self._drains.keys() - required.keys():
            self._withdraw(self._drains.pop(key))
        for key in required.keys() - self._drains.keys():
            drain = required[key]
            self._drains[key] = drain
            self._record_event("drain_started", drain)
        self._update_monitors()
        self._advance_all()

    def _find_drains(self) -> dict[str, _Drain]:
        now = self._clock.now()
        drains = {}
        for group, spec in self._configuration.groups.items():
            for database in spec.databases:
                if database.address in self._listed_addresses:
                    state = EndpointDrain(now, _LISTED_DRAIN_TIMEOUT)
                    drain = _Drain(group, database.name, state)
                    drains[f"list/{group}/{database.name}"] = drain
        for name, order in self._configuration.drain_orders.items():
            deadline = timedelta(milliseconds=order.deadline_ms)
            state = EndpointDrain(now, deadline)
            key = f"order/{name}/{order.group}/{order.database}/{order.deadline_ms}"
            drains[key] = _Drain(order.group, order.database, state, name)
        return drains

    def _update_monitors(self) -> None:
        for group, service in self._services.running_services().items():
            drained = {d.database for d in self._drains.values() if d.group == group}
            service.monitor.set_draining(drained)

    def _withdraw(self, drain: _Drain) -> None:
        self._record_event("drain_withdrawn", drain)
        still_drained = (d.group + "/" + d.database for d in self._drains.values())
        if drain.group + "/" + drain.database not in still_drained:
            pool = self._services.find_pool(drain.group, drain.database)
            if pool is not None:
                pool.stop_draining()
        if drain.reported_progress is not None and drain is not self._reporting:
            self._withdrawn_drains.append(drain)

    def _advance_all(self) -> None:
        for drain in self._drains.values():
            self._advance(drain)

    def _advance(self, drain: _Drain) -> None:
        pool = self._services.find_pool(drain.group, drain.database)
        if pool is None:
            return
        service = self._services.running_services()[drain.group]
        primary = service.monitor.primary
        is_primary = primary is not None and primary.database == drain.database
        previous_phase = drain.state.phase
        actions = drain.state.update(is_primary, pool.running_count, self._clock.now())
        if drain.state.phase is not DrainPhase.HANDOVER and not pool.is_draining:
            pool.start_draining()
        if DrainAction.CLOSE_CONNECTIONS in actions:
            pool.close_all("drain deadline")
        if drain.state.phase is not previous_phase:
            self._record_event(f"drain_{drain.state.phase}", drain)

    async def _report_all_progress(self) -> None:
        try:
            for key, drain in list(self._drains.items()):
                if drain.order and self._drains.get(key) is drain:
                    await self._report_unless_withdrawn(key, drain)
            while self._withdrawn_drains:
                await self._delete_progress(self._withdrawn_drains[0])
                self._withdrawn_drains.pop(0)
        except CodedError as error:
            _log.info("drain: progress could not be written: %s", error)

    async def _report_unless_withdrawn(self, key: str, drain: _Drain) -> None:
        """Write a drain's progress; it may be withdrawn while that is written."""
        self._reporting = drain
        try:
            await self._report_progress(drain)
        finally:
            self._reporting = None
            is_withdrawn = self._drains.get(key) is not drain
            if is_withdrawn and drain.revision:
                self._withdrawn_drains.append(drain)

    async def _report_progress(self, drain: _Drain) -> None:
        pool = self._services.find_pool(drain.group, drain.database)
        running_count = pool.running_count if pool is not None else 0
        progress = DrainProgress(drain.state.phase, running_count)
        if (
            drain.reported_progress is not None
            and drain.reported_progress.phase is progress.phase
        ):
            return  # written only when the phase changes, not the count
        key = drain_progress_key(drain.order, self._instance)
        body = msgspec.json.encode(progress)
        try:
            drain.revision = await self._platform.put(key, body, drain.revision)
        except PlatformConflict as conflict:
            drain.revision = conflict.rows[0].revision if conflict.rows[0].value else 0
            drain.revision = await self._platform.put(key, body, drain.revision)
        drain.reported_progress = progress

    async def _delete_progress(self, drain: _Drain) -> None:
        key = drain_progress_key(drain.order, self._instance)
        try:
            await self._platform.delete(key, drain.revision)
        except PlatformConflict:
            _log.info(
                "drain: progress of order %s was deleted or replaced by a newer row",
                drain.order,
            )

    def _record_event(self, event: str, drain: _Drain) -> None:
        self._events.record(
            "drain",
            event,
            group=drain.group,
            database=drain.database,
            order=drain.order,
        )

"""Keeps the configuration of a process up to date from the table and from peers."""

import logging
import random
from collections.abc import Callable, Collection
from datetime import timedelta

import anyio
import anyio.abc

from ..clock.clock import Clock
from ..configuration.configuration import Configuration
from ..configuration.configuration_builder import ConfigurationBuilder
from ..configuration.configuration_change import ConfigurationChange
from ..configuration.configuration_delta import ConfigurationDelta
from ..configuration.configuration_state import (
    ConfigurationState,
    ConfigurationUpdate,
)
from ..configuration.keys import RESOURCE_PREFIX
from ..configuration.read_interval import (
    FAST_READ_INTERVAL,
    read_interval,
    unconfirmed_read_interval,
)
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..tasks.supervised_tasks import SupervisedTasks
from .changes import Changes
from .platform import Platform
from .read_all_changes import read_all_changes

_logger = logging.getLogger(__name__)

# Limit of unanswered reads. A new read starts at each interval, so that the end of an
# outage is detected while earlier reads still hang.
_MAX_READS_IN_FLIGHT = 32
_MAX_JITTER_FACTOR = 1.2

Subscriber = Callable[[Configuration], object]


class ConfigurationSource:
    """The configuration that this process applies.

    While the store does not answer, the last configuration stays in force.

    Parameters
    ----------
    platform : Platform
        Client of the platform.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of the jitter that spreads the reads of several instances.
    instance : str, default=""
        Name of this instance.
    live_instances : callable, default=an empty list
        Returns the names of live instances.
    known_instance_count : callable, default=1
        Returns the number of instances of the fleet, live or unreachable.
    """

    __slots__ = (
        "_builder",
        "_change_event",
        "_clock",
        "_configuration",
        "_cursor",
        "_instance",
        "_known_count",
        "_live_instances",
        "_next_read_at",
        "_platform",
        "_reads_in_flight",
        "_rng",
        "_state",
        "_store_reachable",
        "_subscribers",
        "_wake_event",
    )

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        instance: str = "",
        live_instances: Callable[[], Collection[str]] = list,
        known_instance_count: Callable[[], int] = lambda: 1,
    ):
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._instance = instance
        self._live_instances = live_instances
        self._known_count = known_instance_count
        self._state = ConfigurationState(clock.now(), rng)
        self._builder = ConfigurationBuilder()
        self._configuration = Configuration()
        self._cursor = 0
        self._reads_in_flight = 0
        self._next_read_at = clock.now()
        self._store_reachable = True
        self._subscribers: list[Subscriber] = []
        self._change_event = anyio.Event()
        self._wake_event = anyio.Event()

    @property
    def state(self) -> ConfigurationState:
        """The state of the configuration, updated with the current time."""
        self._state.observe_time(self._clock.now())
        return self._state

    @property
    def current(self) -> Configuration:
        """The newest configuration; empty until the first one was received."""
        return self._configuration

    @property
    def is_confirmed(self) -> bool:
        """True if the table or a peer confirmed it since the process last paused."""
        return self.state.is_confirmed

    @property
    def store_reachable(self) -> bool:
        """True if the last completed read of the table succeeded."""
        return self._store_reachable

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new configuration; it must not block."""
        self._subscribers.append(subscriber)

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Apply an update from a peer; return True if the revision increased."""
        if not self.state.apply(update):
            return False
        self._publish_configuration()
        return True

    def apply_answer(
        self,
        epoch: int,
        revision: int,
        update: ConfigurationUpdate | None,
        is_confirmed: bool,
    ) -> None:
        """Apply the answer of the store or of a peer to a read.

        Parameters
        ----------
        epoch : int
            ``state.epoch`` when the read was sent. It rises with each pause of the
            process; the answer confirms the state only if it has not changed since.
        revision : int
            Revision of the store or of the peer.
        update : ConfigurationDelta or ConfigurationSnapshot or None
            Changes up to that revision; None if there are none.
        is_confirmed : bool
            True for the store, or if the peer's state was confirmed.
        """
        was_confirmed = self.is_confirmed
        if self._state.apply_answer(epoch, revision, update, is_confirmed):
            self._publish_configuration()
        elif self._state.is_confirmed and not was_confirmed:
            self._notify_waiters()

    def request_read(self) -> None:
        """Read the table as soon as possible, for instance after a write."""
        self._next_read_at = self._clock.now()
        self._wake_event.set()

    async def wait_confirmed(self, deadline: timedelta) -> Configuration:
        """Return the configuration once it is confirmed.

        Parameters
        ----------
        deadline : timedelta
            Monotonic time at which to give up.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if neither the table nor a peer confirmed it in
            time.
        """
        if self.is_confirmed:
            return self._configuration
        seconds = (deadline - self._clock.now()).total_seconds()
        with anyio.move_on_after(max(seconds, 0)):
            while not self.is_confirmed:
                await self._change_event.wait()
        if not self.is_confirmed:
            detail = "no configuration was confirmed in time; nothing was run"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
        return self._configuration

    async def wait_revision(self, revision: int) -> Configuration:
        """Return the configuration once it has reached a revision."""
        while self._configuration.revision < revision:
            await self._change_event.wait()
        return self._configuration

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Read the table periodically, less often in a larger fleet."""
        async with anyio.create_task_group() as task_group:
            tasks = SupervisedTasks(task_group)
            task_status.started()
            while True:
                self._start_due_read(tasks)
                await self._sleep()

    def _start_due_read(self, tasks: SupervisedTasks) -> None:
        now = self._clock.now()
        interval = self._read_interval()
        self._next_read_at = min(
            self._next_read_at, now + interval * _MAX_JITTER_FACTOR
        )
        if now < self._next_read_at or self._reads_in_flight >= _MAX_READS_IN_FLIGHT:
            return
        self._next_read_at = now + interval * self._rng.uniform(1, _MAX_JITTER_FACTOR)
        self._reads_in_flight += 1
        tasks.start_soon(self._read)

    def _read_interval(self) -> timedelta:
        known_instance_count = self._known_count()
        if not self.is_confirmed:
            return unconfirmed_read_interval(known_instance_count)
        return read_interval(
            self._instance, self._live_instances(), known_instance_count
        )

    async def _sleep(self) -> None:
        self._wake_event = anyio.Event()
        remaining = self._next_read_at - self._clock.now()
        pause = min(max(remaining, timedelta(0)), FAST_READ_INTERVAL)
        with anyio.move_on_after(max(pause.total_seconds(), 0.01)):
            await self._wake_event.wait()

    async def _read(self) -> None:
        epoch = self.state.epoch
        base_revision = self._state.revision
        cursor = max(self._cursor, base_revision)
        try:
            changes = await read_all_changes(self._platform, RESOURCE_PREFIX, cursor)
        except CodedError as error:
            self._record_reachability(False, str(error))
            return
        finally:
            self._reads_in_flight -= 1
        self._record_reachability(True, "")
        self._cursor = max(self._cursor, changes.revision)
        delta = _to_delta(base_revision, changes)
        revision = base_revision if delta is None else delta.revision
        self.apply_answer(epoch, revision, delta, True)

    def _record_reachability(self, is_reachable: bool, reason: str) -> None:
        if is_reachable == self._store_reachable:
            return
        self._store_reachable = is_reachable
        if is_reachable:
            _logger.info("configuration: the store is reachable again")
        else:
            _logger.warning(
                "configuration: cannot read the store, revision %d stays in force: %s",
                self._configuration.revision,
                reason,
            )

    def _publish_configuration(self) -> None:
        rows = self._state.rows.values()
        self._configuration = self._builder.build(self._state.revision, rows)
        for key in self._builder.unreadable_keys:
            _logger.error("configuration: ignored row %s, which cannot be decoded", key)
        self._notify_waiters()
        for subscriber in self._subscribers:
            subscriber(self._configuration)

    def _notify_waiters(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()


def _to_delta(base_revision: int, changes: Changes) -> ConfigurationDelta | None:
    if not changes.rows:
        return None
    rows = [
        ConfigurationChange(row.key, row.revision, row.value) for row in changes.rows
    ]
    return ConfigurationDelta(base_revision, changes.rows[-1].revision, rows)

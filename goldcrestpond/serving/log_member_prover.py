"""Asks replicas how far they have received, where no traffic shows it."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..tasks.supervised_tasks import SupervisedTasks
from .database_requests import REQUEST_TIMEOUT_S, OpenLink
from .decision_log import DecisionLog
from .directory import Directory
from .failover_delay import holder_rank
from .log_members import (
    LogMember,
    find_unproved,
    identify_member,
    proof_due_at,
    record_received,
)
from .service import Service

# Time after the retention in which reads usually show what the replicas have.
TRAFFIC_WAIT = timedelta(seconds=5)
# The holders ask one after the other, since each needs a connection.
HOLDER_SPACING = timedelta(seconds=1)
# The first holder asks again after this time, the next one after twice the time.
REQUEST_INTERVAL = timedelta(seconds=10)
INTERVALS_MAX = 6
SAMPLE_TIMEOUT = timedelta(seconds=1)


class LogMemberProver:
    """Proves that removed databases of quiet services are no longer needed.

    Parameters
    ----------
    instance : str
        Name of this instance.
    directory : Directory
        The services.
    open_link : callable
        Opens a connection.
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives log events.
    tasks : SupervisedTasks
        Runs the requests.
    read_record : callable
        Reads the store's record, where another holder may have noted a proof.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_instance",
        "_log",
        "_next_at",
        "_open_link",
        "_read_record",
        "_running",
        "_tasks",
    )

    def __init__(
        self,
        instance: str,
        directory: Directory,
        open_link: OpenLink,
        clock: Clock,
        log: DecisionLog,
        tasks: SupervisedTasks,
        read_record: Callable[[Service], Awaitable[bool]],
    ):
        self._read_record = read_record
        self._instance = instance
        self._directory = directory
        self._open_link = open_link
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._next_at: dict[str, timedelta] = {}
        self._running: set[str] = set()

    def check(self, service: Service) -> None:
        """Forget what is proved by now; start to ask replicas if that is due."""
        service.update_log_members()
        name = service.name
        retained_until = proof_due_at(service.log_members)
        if retained_until is None:
            self._next_at.pop(name, None)
            return
        rank = holder_rank(name, self._instance, self._directory.holder_names(name))
        now = self._clock.now()
        first_at = retained_until + TRAFFIC_WAIT + rank * HOLDER_SPACING
        if name in self._running or now < max(
            first_at, self._next_at.get(name, first_at)
        ):
            return
        self._next_at[name] = now + REQUEST_INTERVAL * min(1 + rank, INTERVALS_MAX)
        self._running.add(name)
        self._tasks.start_soon(self._prove, service)

    async def _prove(self, service: Service) -> None:
        try:
            await self._read_record(service)
            if not service.log_members.removed:
                return
            await self._sample_leader(service)
            replicas = find_unproved(service.log_members, service.replica_progress())
            for member in sorted(replicas):
                await self._request_position(service, member)
            service.update_log_members()
        except CodedError as error:
            self._log.decision(
                "leader not sampled", service=service.name, detail=error.detail
            )
        finally:
            self._running.discard(service.name)

    async def _sample_leader(self, service: Service) -> None:
        """Sample the leader's position unless a sample since the retention is known."""
        removed = service.log_members.removed.values()
        if any(each.required is not None for each in removed):
            return
        now = self._clock.now()
        verifier = self._directory.leader_verifier(service.name)
        await verifier.wait_for_sample(now, now + SAMPLE_TIMEOUT)
        service.update_log_members()

    async def _request_position(self, service: Service, member: LogMember) -> None:
        served = service.databases.get(member.database_id)
        if served is None or identify_member(served.database) != member:
            return
        epoch = service.leadership.epoch
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                link = await self._open_link(served.database)
                try:
                    report = await link.report()
                finally:
                    await link.aclose()
        except (CodedError, TimeoutError) as error:
            self._log.decision(
                "position not read",
                service=service.name,
                database=member.database_id,
                detail=str(error) or "no answer",
            )
            return
        record_received(service.log_members, member, report.received, epoch)

"""Runs one statement outside a transaction, with retries."""

from dataclasses import replace
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..pool.requester import Requester
from ..retry.request_attempts import RequestAttempts
from .await_min_position import await_min_position
from .directory import Directory
from .error_outcome import RETRYABLE, get_attempt_outcome
from .leader_verifier import LEADERLESS_WAIT_FRACTION
from .link_checkout import check_out_link, return_link
from .reply import Reply
from .route import Route
from .run_on_link import run_on_link
from .served_database import ServedDatabase
from .service import Service
from .session_state import SessionState
from .stage_times import PAUSE, PROOF, RUN, StageTimes
from .statement import Statement
from .transaction_state import TransactionState

# A write is sent only if the leader was verified within this time, so that few writes
# end with an unknown outcome when the leader stops answering.
MAX_LEADER_CHECK_AGE = timedelta(milliseconds=200)
# A read is tried elsewhere if it is not answered within this fraction of the objective,
# or this multiple of the database's usual service time, whichever is longer.
READ_ATTEMPT_OBJECTIVE_FRACTION = 0.5
READ_ATTEMPT_SERVICE_TIMES = 6
# Each attempt that times out lengthens the next ones by this factor: a read that takes
# longer than the first timeout on every database would otherwise never be answered.
READ_ATTEMPT_GROWTH_FACTOR = 2
# Pause before a write that a holder did not send is sent there again; a promotion takes
# several hundred milliseconds.
HELD_BACK_RETRY_PAUSE_S = 0.1


class SingleStatement:
    """A read or write outside a transaction, with its attempts.

    Parameters
    ----------
    requester : Requester
        For whom the statements run.
    statement : Statement
        Statement to run.
    session : SessionState
        Session values and prepared statements of the caller.
    route : Route
        Route of the caller's database.
    service : Service
        Service of the route.
    directory : Directory
        Leader checks, retry budgets, clock, metrics and log.
    stages : StageTimes
        Receives how long its stages take.
    """

    __slots__ = (
        "_arrived_at",
        "_clock",
        "_directory",
        "_is_write",
        "_requester",
        "_route",
        "_service",
        "_session",
        "_stages",
        "_statement",
        "_timed_out_count",
    )

    def __init__(
        self,
        requester: Requester,
        statement: Statement,
        session: SessionState,
        route: Route,
        service: Service,
        directory: Directory,
        stages: StageTimes,
    ):
        self._stages = stages
        is_write = session.is_write(statement)
        self._requester = replace(requester, is_repeatable=not is_write)
        self._statement = statement
        self._session = session
        self._route = route
        self._service = service
        self._directory = directory
        self._arrived_at = timedelta(0)
        self._timed_out_count = 0
        self._clock = directory.clock
        self._is_write = is_write

    async def run(
        self, arrived_at: timedelta, last_commit: LogPosition | None
    ) -> Reply:
        """Run the statement; retry a read, or a write that certainly did not run.

        Parameters
        ----------
        arrived_at : timedelta
            Time at which the statement arrived.
        last_commit : LogPosition or None
            Position after the last commit of the session on the service.

        Raises
        ------
        CodedError
            With a code that says "not run" only if the statement did not run.
        """
        self._arrived_at = arrived_at
        deadline = arrived_at + self._route.timeout
        retry_budget = self._directory.retry_budget(self._service.name)
        attempts = RequestAttempts(
            deadline, not self._is_write, False, retry_budget, self._directory.rng
        )
        while True:
            try:
                if self._is_write:
                    return await self._write(deadline)
                return await self._read(arrived_at, deadline, last_commit)
            except CodedError as error:
                if error.code not in RETRYABLE:
                    raise
                evidence = get_attempt_outcome(error.code)
                pause = attempts.record_failure(evidence, self._clock.now())
                if pause is None:
                    raise
                self._directory.metrics.count(
                    "attempts_failed_total", code=f"GP{error.code.number}"
                )
                self._directory.log.decision(
                    "attempt failed",
                    request=self._statement.request_id,
                    code=f"GP{error.code.number}",
                    detail=error.detail,
                    evidence=evidence.name,
                )
            with self._stages.measure(PAUSE):
                await anyio.sleep(pause.total_seconds())

    async def _write(self, deadline: timedelta) -> Reply:
        admit_by = self._compute_admission_deadline(deadline)
        while True:
            reply = await self._write_once(deadline, admit_by)
            # Only the holder of a connection knows that commits are blocked there.
            is_held_back = reply.error is ResultCode.NO_PRIMARY
            if not is_held_back or self._clock.now() >= admit_by:
                reply.raise_error()
                return reply
            with self._stages.measure(PROOF):
                await anyio.sleep(HELD_BACK_RETRY_PAUSE_S)

    async def _write_once(self, deadline: timedelta, admit_by: timedelta) -> Reply:
        leader_verifier = self._directory.leader_verifier(self._service.name)
        with self._stages.measure(PROOF):
            await self._service.admit_write(admit_by)
            since = self._clock.now() - MAX_LEADER_CHECK_AGE
            leader = await leader_verifier.wait_for_leader(
                since, leader_verifier.leader_wait_deadline(deadline)
            )
        asked_at = self._clock.now()
        try:
            timeout = self._route.timeout
            reply = await self._service.run_commit(
                lambda: self._run_at(leader, None, deadline, timeout)
            )
        except CodedError as error:
            if error.code is ResultCode.ANSWER_INTERRUPTED:
                raise CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail) from error
            raise
        if reply.error is ResultCode.PRIMARY_REPLACED:
            self._service.record_leader_refusal(leader)
        if reply.error is None and reply.position is not None:
            self._service.record_leader_verified(leader, reply.position, asked_at)
        return reply

    def _compute_admission_deadline(self, deadline: timedelta) -> timedelta:
        now = self._clock.now()
        return now + (deadline - now) * LEADERLESS_WAIT_FRACTION

    async def _read(
        self,
        arrived_at: timedelta,
        deadline: timedelta,
        last_commit: LogPosition | None,
    ) -> Reply:
        with self._stages.measure(PROOF):
            min_position = await await_min_position(
                self._service.leadership,
                self._directory.leader_verifier(self._service.name),
                self._route,
                last_commit,
                arrived_at,
                deadline,
            )
        excluded: set[str] = set()
        refusal: CodedError | None = None
        while True:
            served = self._service.choose_for_read(
                min_position, excluded, self._requester.organisation
            )
            if served is None and refusal is not None:
                raise refusal
            if served is None:
                detail = f"{self._service.name}: no database has reached {min_position}"
                raise CodedError(ResultCode.NO_FRESH_REPLICA, detail)
            asked_at = self._clock.now()
            timeout = self._compute_attempt_timeout(served)
            try:
                reply = await self._run_at(served, min_position, deadline, timeout)
            except CodedError as error:
                if error.code is not ResultCode.ENDPOINT_BUSY:
                    raise
                # It is paced, and nothing was sent. Others can do its work.
                refusal = error
                excluded.add(served.database_id)
                continue
            if reply.error is ResultCode.NO_FRESH_REPLICA:
                self._service.record_missing_position(served, min_position)
                excluded.add(served.database_id)
                continue
            reply.raise_error()
            served.health.record_success()
            now = self._clock.now()
            served.latency.observe(now - asked_at, now)
            if reply.position is not None:
                epoch = self._service.leadership.epoch
                served.progress.record_answer(reply.position, epoch)
            return reply

    def _compute_attempt_timeout(self, served: ServedDatabase) -> timedelta:
        organisation = self._requester.organisation
        service_time = served.pool.service_time(organisation)
        objective = self._route.objective
        timeout = max(
            objective * READ_ATTEMPT_OBJECTIVE_FRACTION,
            service_time * READ_ATTEMPT_SERVICE_TIMES,
        )
        return timeout * READ_ATTEMPT_GROWTH_FACTOR**self._timed_out_count

    async def _run_at(
        self,
        served: ServedDatabase,
        min_position: LogPosition | None,
        deadline: timedelta,
        timeout: timedelta,
    ) -> Reply:
        """Run the statement on one database, which must answer within ``timeout``."""
        link = await check_out_link(
            served,
            self._session,
            self._requester,
            self._route,
            self._arrived_at,
            deadline,
            self._clock,
            self._stages,
        )
        self._requester = replace(self._requester, is_charged=True)
        # The timeout starts here: the wait for a connection does not show that the
        # database is slow.
        answer_by = min(deadline, self._clock.now() + timeout)
        try:
            with self._stages.measure(RUN):
                reply = await run_on_link(
                    link,
                    self._session,
                    self._statement,
                    min_position,
                    answer_by,
                    self._clock,
                )
            served.record_reply(link, reply)
            return reply
        except CodedError as error:
            now = self._clock.now()
            if error.code is not ResultCode.QUEUE_DEADLINE:
                served.record_failed_statement(now)
            is_interrupted = error.code is ResultCode.ANSWER_INTERRUPTED
            self._timed_out_count += is_interrupted and now >= answer_by
            detail = f"{served.database_id}: {error.detail}"
            raise CodedError(error.code, detail, error.retry_after_ms) from error
        finally:
            has_open_transaction = link.state is not TransactionState.IDLE
            await return_link(served.pool, link, has_open_transaction)

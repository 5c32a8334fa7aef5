"""Runs a statement outside of a transaction."""

from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..retry.request_attempts import RequestAttempts
from .await_min_position import find_read_floor
from .directory import Directory
from .error_outcome import PASSING, evidence_of
from .leader_verifier import LEADERLESS_WAIT_FRACTION
from .link_checkout import lend, return_link
from .min_position import SessionFloor
from .reply import Reply
from .route import Route
from .run_on_link import run_on_link
from .served_database import ServedDatabase
from .service import Service
from .session_state import SessionState
from .statement import Statement
from .transaction_state import TransactionState

# A write goes out only if the leader proved itself within this time, so that one
# that has fallen silent costs the outcome of few writes.
WRITE_PROOF_AGE = timedelta(milliseconds=200)
# A read is tried elsewhere after this part of the objective without an answer,
# or after so many usual times, whichever is later.
READ_ATTEMPT_PART = 0.5
READ_ATTEMPT_TIMES = 6
# An attempt after one that took all its time is given longer: a read that takes that
# long on any database would otherwise be given up everywhere until its time is over.
READ_ATTEMPT_GROWTH = 2


class SingleStatement:
    """One read or write with its attempts.

    Parameters
    ----------
    key : str
        The caller, for fairness.
    statement : Statement
        What to run.
    session : SessionState
        Values and names of the caller.
    route : Route
        Route of the caller's database.
    service : Service
        Service of the route.
    directory : Directory
        Provers, budgets and clock.
    """

    __slots__ = (
        "_arrived_at",
        "_clock",
        "_directory",
        "_is_write",
        "_key",
        "_outlasted_count",
        "_route",
        "_service",
        "_session",
        "_statement",
    )

    def __init__(
        self,
        key: str,
        statement: Statement,
        session: SessionState,
        route: Route,
        service: Service,
        directory: Directory,
    ):
        self._key = key
        self._statement = statement
        self._session = session
        self._route = route
        self._service = service
        self._directory = directory
        self._arrived_at = timedelta(0)
        self._outlasted_count = 0
        self._clock = directory.clock
        self._is_write = session.is_write(statement)

    async def run(self, arrived_at: timedelta, own: SessionFloor | None) -> Reply:
        """Run it; repeat what certainly did not run or only reads.

        Raises
        ------
        CodedError
            With a code that says "not run" only if it did not run.
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
                return await self._read(arrived_at, deadline, own)
            except CodedError as error:
                if error.code not in PASSING:
                    raise
                evidence = evidence_of(error.code)
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
            await anyio.sleep(pause.total_seconds())

    async def _write(self, deadline: timedelta) -> Reply:
        await self._service.admit_write(self._stall_limit(deadline))
        since = self._clock.now() - WRITE_PROOF_AGE
        leader_verifier = self._directory.leader_verifier(self._service.name)
        leader = await leader_verifier.wait_for_leader(
            since, leader_verifier.leader_wait_deadline(deadline)
        )
        asked_at = self._clock.now()
        try:
            limit = self._route.timeout
            reply = await self._service.run_commit(
                lambda: self._run_at(leader, None, deadline, limit)
            )
        except CodedError as error:
            if error.code is ResultCode.ANSWER_INTERRUPTED:
                raise CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail) from error
            raise
        if reply.error is ResultCode.PRIMARY_REPLACED:
            self._service.record_leader_refusal(leader)
        reply.raise_error()
        if reply.position is not None:
            self._service.record_leader_verified(leader, reply.position, asked_at)
        return reply

    def _stall_limit(self, deadline: timedelta) -> timedelta:
        now = self._clock.now()
        return now + (deadline - now) * LEADERLESS_WAIT_FRACTION

    async def _read(
        self, arrived_at: timedelta, deadline: timedelta, own: SessionFloor | None
    ) -> Reply:
        min_position = await find_read_floor(
            self._service.leadership,
            self._directory.leader_verifier(self._service.name),
            self._route,
            own,
            arrived_at,
            deadline,
        )
        excluded: set[str] = set()
        while True:
            served = self._service.choose_for_read(min_position, excluded)
            if served is None:
                detail = f"{self._service.name}: no database has {min_position}"
                raise CodedError(ResultCode.NO_FRESH_REPLICA, detail)
            asked_at = self._clock.now()
            limit = self._attempt_limit(served)
            reply = await self._run_at(served, min_position, deadline, limit)
            if reply.error is ResultCode.NO_FRESH_REPLICA:
                self._service.lagged(served, min_position)
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

    def _attempt_limit(self, served: ServedDatabase) -> timedelta:
        load = served.pool.load(served.database.slots)
        usual = timedelta(milliseconds=load.service_ms)
        objective = self._route.objective
        limit = max(objective * READ_ATTEMPT_PART, usual * READ_ATTEMPT_TIMES)
        return limit * READ_ATTEMPT_GROWTH**self._outlasted_count

    async def _run_at(
        self,
        served: ServedDatabase,
        min_position: LogPosition | None,
        deadline: timedelta,
        limit: timedelta,
    ) -> Reply:
        """Run it at one database, which is given ``limit`` to answer."""
        link = await lend(
            served,
            self._session,
            self._key,
            self._route,
            self._arrived_at,
            deadline,
            self._clock,
        )
        # The wait for the connection says nothing about the database.
        answer_by = min(deadline, self._clock.now() + limit)
        try:
            return await run_on_link(
                link,
                self._session,
                self._statement,
                min_position,
                answer_by,
                self._clock,
            )
        except CodedError as error:
            now = self._clock.now()
            if error.code is not ResultCode.QUEUE_DEADLINE:
                served.health.record_failure(now)
            is_interrupted = error.code is ResultCode.ANSWER_INTERRUPTED
            self._outlasted_count += is_interrupted and now >= answer_by
            detail = f"{served.database_id}: {error.detail}"
            raise CodedError(error.code, detail, error.retry_after_ms) from error
        finally:
            is_open = link.state is not TransactionState.IDLE
            await return_link(served.pool, link, is_open)

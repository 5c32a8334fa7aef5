"""Runs the statements of one transaction on the connection checked out for it."""

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
from .elsewhere import Elsewhere
from .error_outcome import NOT_RUN, RETRYABLE, get_attempt_outcome
from .leader_verifier import LEADERLESS_WAIT_FRACTION
from .link_checkout import check_out_link, return_link
from .open_transaction import OpenTransaction
from .reply import Reply
from .route import ReadPolicy
from .run_on_link import run_on_link
from .served_database import ServedDatabase
from .session_state import SessionState
from .single_statement import MAX_LEADER_CHECK_AGE
from .stage_times import BEGIN, PAUSE, PROOF, RELAY, RUN, StageTimes
from .statement import Statement
from .statement_kind import StatementKind
from .transaction_state import TransactionState

BUSY_RETRY_PAUSE_S = 0.01  # about the time for which a short statement occupies a slot


class TransactionRunner:
    """Runs the statements of an open transaction, including its commit.

    Parameters
    ----------
    requester : Requester
        For whom the statements run.
    transaction : OpenTransaction
        State of the transaction.
    session : SessionState
        Session values and prepared statements of the caller.
    last_commit : LogPosition or None
        Position after the last commit of the session on the service.
    directory : Directory
        Leader checks, retry budgets, clock and log.
    stages : StageTimes
        Receives how long the stages of its statements take.
    elsewhere : Elsewhere or None, default=None
        Opens the transaction at an instance that holds the service; None to open it
        here.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_elsewhere",
        "_last_commit",
        "_requester",
        "_session",
        "_stages",
        "_transaction",
    )

    def __init__(
        self,
        requester: Requester,
        transaction: OpenTransaction,
        session: SessionState,
        last_commit: LogPosition | None,
        directory: Directory,
        stages: StageTimes,
        elsewhere: Elsewhere | None = None,
    ):
        self._stages = stages
        self._elsewhere = elsewhere
        self._requester = requester
        self._transaction = transaction
        self._session = session
        self._last_commit = last_commit
        self._directory = directory
        self._clock = directory.clock

    async def run(self, statement: Statement, arrived_at: timedelta) -> Reply:
        """Run a read, a write or the commit.

        The first statement chooses a database and opens the transaction there; if that
        fails before a write was sent, it is retried on another connection.

        Raises
        ------
        CodedError
            ROLLED_BACK if no effect of the transaction remains, OUTCOME_UNKNOWN if a
            commit was sent and its answer did not arrive.
        """
        deadline = arrived_at + self._transaction.route.timeout
        if self._transaction.link is None:
            return await self._run_first_statement(statement, arrived_at, deadline)
        self._transaction.served.pool.resume(self._transaction.link)
        return await self._run_on_open_link(statement, deadline)

    async def return_link(self) -> None:
        """Roll back the transaction if it is open, and return the connection."""
        transaction = self._transaction
        link, transaction.link = transaction.link, None
        if link is not None:
            has_open_transaction = link.state is not TransactionState.IDLE
            await return_link(transaction.served.pool, link, has_open_transaction)

    async def _run_first_statement(
        self, statement: Statement, arrived_at: timedelta, deadline: timedelta
    ) -> Reply:
        reply = await self._open_elsewhere(statement, arrived_at)
        if reply is not None:
            return reply
        service = self._transaction.service
        retry_budget = self._directory.retry_budget(service.name)
        attempts = RequestAttempts(
            deadline, True, False, retry_budget, self._directory.rng
        )
        while True:
            try:
                await self._open_transaction(arrived_at, deadline)
                return await self._run_on_open_link(statement, deadline)
            except CodedError as error:
                await self.return_link()
                may_repeat = (
                    error.code in RETRYABLE and not self._transaction.has_written
                )
                if not may_repeat:
                    raise
                pause = attempts.record_failure(
                    get_attempt_outcome(error.code), self._clock.now()
                )
                if pause is None:
                    raise
                self._directory.log.decision(
                    "transaction opened again",
                    request=statement.request_id,
                    code=f"GP{error.code.number}",
                    detail=error.detail,
                )
            with self._stages.measure(PAUSE):
                await anyio.sleep(pause.total_seconds())

    async def _open_elsewhere(
        self, statement: Statement, arrived_at: timedelta
    ) -> Reply | None:
        """Open the transaction at another instance; None if it is to be opened here."""
        if self._elsewhere is None or statement.kind is StatementKind.COMMIT:
            return None
        with self._stages.measure(RELAY):
            reply = await self._elsewhere.open_transaction(
                self._requester,
                statement,
                self._session,
                self._transaction,
                arrived_at,
                self._last_commit,
            )
        if reply is not None and self._session.is_write(statement):
            self._transaction.has_written = True
        return reply

    async def _open_transaction(
        self, arrived_at: timedelta, deadline: timedelta
    ) -> None:
        transaction = self._transaction
        policy = transaction.route.policy
        if transaction.is_read_only and policy is not ReadPolicy.CURRENT:
            await self._open_for_reads(arrived_at, deadline)
        else:
            await self._open_on_leader(arrived_at, deadline)

    async def _open_on_leader(self, arrived_at: timedelta, deadline: timedelta) -> None:
        transaction = self._transaction
        service = transaction.service
        leader_verifier = self._directory.leader_verifier(service.name)
        with self._stages.measure(PROOF):
            if not transaction.is_read_only:
                # A commit at the former leader would be refused.
                now = self._clock.now()
                wait = (deadline - now) * LEADERLESS_WAIT_FRACTION
                await service.wait_unblocked(now + wait)
            since = self._clock.now() - MAX_LEADER_CHECK_AGE
            leader = await leader_verifier.wait_for_leader(
                since, leader_verifier.leader_wait_deadline(deadline)
            )
        await self._check_out_link(leader, arrived_at, deadline)
        asked_at = self._clock.now()
        reply = await self._begin(False, None, deadline)
        if reply.error is ResultCode.PRIMARY_REPLACED:
            service.record_leader_refusal(leader)
        reply.raise_error()
        if reply.position is not None:
            service.record_leader_verified(leader, reply.position, asked_at)

    async def _open_for_reads(self, arrived_at: timedelta, deadline: timedelta) -> None:
        transaction = self._transaction
        service = transaction.service
        with self._stages.measure(PROOF):
            min_position = await await_min_position(
                service.leadership,
                self._directory.leader_verifier(service.name),
                transaction.route,
                self._last_commit,
                transaction.began_at,
                deadline,
            )
        excluded: set[str] = set()
        refusal: CodedError | None = None
        while True:
            served = service.choose_for_read(
                min_position, excluded, self._requester.organisation
            )
            if served is None and refusal is not None:
                raise refusal
            if served is None:
                detail = f"{service.name}: no database has reached {min_position}"
                raise CodedError(ResultCode.NO_FRESH_REPLICA, detail)
            try:
                await self._check_out_link(served, arrived_at, deadline)
            except CodedError as error:
                if error.code is not ResultCode.ENDPOINT_BUSY:
                    raise
                # It is paced, and nothing was sent. Others can do its work.
                refusal = error
                excluded.add(served.database_id)
                continue
            reply = await self._begin(True, min_position, deadline)
            if reply.error is not ResultCode.NO_FRESH_REPLICA:
                reply.raise_error()
                return
            service.record_missing_position(served, min_position)
            excluded.add(served.database_id)
            await self.return_link()

    async def _check_out_link(
        self, served: ServedDatabase, arrived_at: timedelta, deadline: timedelta
    ) -> None:
        transaction = self._transaction
        transaction.link = await check_out_link(
            served,
            self._session,
            self._requester,
            transaction.route,
            arrived_at,
            deadline,
            self._clock,
            self._stages,
        )
        transaction.served = served
        self._requester = replace(self._requester, is_charged=True)

    async def _begin(
        self, is_read_only: bool, min_position, deadline: timedelta
    ) -> Reply:
        link, served = self._transaction.link, self._transaction.served
        remaining = (deadline - self._clock.now()).total_seconds()
        try:
            with anyio.fail_after(max(0.0, remaining)):
                with self._stages.measure(BEGIN):
                    reply = await link.begin(is_read_only, min_position)
        except TimeoutError as error:
            link.is_broken = True
            served.health.record_failure(self._clock.now())
            detail = "BEGIN was not answered in time"
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail) from error
        except anyio.get_cancelled_exc_class():
            link.is_broken = link.is_abandoned = True
            raise
        served.record_reply(link, reply)
        return reply

    async def _run_on_open_link(
        self, statement: Statement, deadline: timedelta
    ) -> Reply:
        transaction = self._transaction
        is_commit = statement.kind is StatementKind.COMMIT
        if self._session.is_write(statement):
            transaction.has_written = True
        if is_commit and transaction.has_written:
            reply = await self._commit(statement, deadline)
        else:
            reply = await self._run_retrying_busy(statement, deadline)
        if reply.error is None:
            if not is_commit:
                transaction.served.pool.suspend(transaction.link)
            return reply
        if reply.error is ResultCode.PRIMARY_REPLACED:
            transaction.service.record_leader_refusal(transaction.served)
        if is_commit and reply.error not in NOT_RUN:
            reply.raise_error()
        detail = f"{transaction.served.database_id}: {reply.detail}"
        raise CodedError(ResultCode.ROLLED_BACK, detail)

    async def _commit(self, statement: Statement, deadline: timedelta) -> Reply:
        service = self._transaction.service
        now = self._clock.now()
        try:
            await service.admit_write(now + (deadline - now) * LEADERLESS_WAIT_FRACTION)
            return await service.run_commit(
                lambda: self._run_retrying_busy(statement, deadline)
            )
        except CodedError as error:
            if error.code not in NOT_RUN:
                raise
            raise CodedError(
                ResultCode.ROLLED_BACK, str(error), error.retry_after_ms
            ) from error

    async def _run_retrying_busy(
        self, statement: Statement, deadline: timedelta
    ) -> Reply:
        """Run a statement; retry while the database refuses it for lack of a slot."""
        transaction = self._transaction
        link = transaction.link
        while True:
            try:
                with self._stages.measure(RUN):
                    reply = await run_on_link(
                        link, self._session, statement, None, deadline, self._clock
                    )
            except CodedError as error:
                if error.code is ResultCode.QUEUE_DEADLINE:
                    raise CodedError(ResultCode.ROLLED_BACK, error.detail) from error
                transaction.served.record_failed_statement(self._clock.now())
                raise self._make_interrupted_error(statement, error) from error
            transaction.served.record_reply(link, reply)
            is_busy = reply.error is ResultCode.ENDPOINT_BUSY
            if not is_busy or link.state is not TransactionState.OPEN:
                return reply
            await anyio.sleep(BUSY_RETRY_PAUSE_S)

    def _make_interrupted_error(
        self, statement: Statement, error: CodedError
    ) -> CodedError:
        transaction = self._transaction
        detail = f"{transaction.served.database_id}: {error.detail}"
        is_commit = statement.kind is StatementKind.COMMIT
        if is_commit and transaction.has_written:
            return CodedError(ResultCode.OUTCOME_UNKNOWN, detail)
        return CodedError(ResultCode.ROLLED_BACK, detail)

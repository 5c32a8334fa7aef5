"""Runs the statements of one caller."""

import random
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..overload.admission import Admission
from ..pool.requester import Requester
from .decision_log import DecisionLog
from .directory import Directory
from .elsewhere import Elsewhere
from .identity_check import IdentityCheck
from .late_statement import log_late_statement
from .open_transaction import OpenTransaction
from .organisation import Organisation, compute_weight
from .reply import Reply
from .route import Route
from .session_state import SessionState
from .single_statement import SingleStatement
from .stage_times import RELAY, StageTimes
from .statement import Statement
from .statement_kind import StatementKind
from .transaction_runner import TransactionRunner
from .transaction_state import TransactionState

_LOCAL_KINDS = frozenset(
    {StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE}
)
_DATABASE_KINDS = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE}
)


class CallerSession:
    """The session of one caller.

    Parameters
    ----------
    caller_key : str
        Identity of the caller, by which the pools share connections fairly.
    database : str
        Database name that the caller asked for.
    key_digest : bytes
        Digest of the key by which the caller identified itself.
    identity : IdentityCheck
        Finds the organisation that has the key.
    directory : Directory
        Routes, and services by name.
    elsewhere : Elsewhere
        Runs statements at instances that hold their services, unless this one does.
    admission : Admission
        Refuses statements that this instance has no processor time for.
    clock : Clock
        Monotonic clock.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Receives the log lines.

    Attributes
    ----------
    interrupted_reply : Reply or None
        Reply to the statement that was running when the session was cancelled.
    """

    __slots__ = (
        "_admission",
        "_caller_key",
        "_clock",
        "_database",
        "_directory",
        "_elsewhere",
        "_identity",
        "_is_refused",
        "_key_digest",
        "_last_commits",
        "_log",
        "_requester",
        "_rng",
        "_stages",
        "_state",
        "_transaction",
        "interrupted_reply",
    )

    def __init__(
        self,
        caller_key: str,
        database: str,
        key_digest: bytes,
        identity: IdentityCheck,
        directory: Directory,
        elsewhere: Elsewhere,
        admission: Admission,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._caller_key = caller_key
        self._requester = Requester(caller_key)
        self._database = database
        self._key_digest = key_digest
        self._identity = identity
        self._is_refused = False
        self._directory = directory
        self._elsewhere = elsewhere
        self._admission = admission
        self._clock = clock
        self._rng = rng
        self._log = log
        self._state = SessionState()
        self._stages = StageTimes(clock)
        self._last_commits: dict[str, LogPosition] = {}
        self._transaction: OpenTransaction | None = None
        self.interrupted_reply: Reply | None = None

    @property
    def has_unreported_abort(self) -> bool:
        """Whether the transaction was rolled back and the caller does not know yet."""
        return self._transaction is not None and bool(self._transaction.abort_reason)

    @property
    def transaction_state(self) -> TransactionState:
        """State of the session's transaction."""
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.has_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    def identify(self) -> None:
        """Check, when the session opens, that the caller may use its route.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE if its database has no route; otherwise see
            `IdentityCheck.identify`.
        """
        self._identify(self._directory.route(self._database))

    async def run(self, statement: Statement) -> Reply:
        """Run one statement; errors become replies."""
        arrived_at = self._clock.now()
        self._stages = StageTimes(self._clock)
        transaction = self._transaction
        try:
            reply = await self._run(statement, arrived_at)
        except CodedError as error:
            reply = self._make_error_reply(statement, error, arrived_at)
        except anyio.get_cancelled_exc_class():
            if transaction is not None:
                transaction.has_failed = True
            error = self._make_interrupted_error(statement, transaction)
            reply = self._make_error_reply(statement, error, arrived_at)
            reply.state = self.transaction_state
            self.interrupted_reply = reply
            raise
        self._record_metrics(statement, reply, self._clock.now() - arrived_at)
        reply.state = self.transaction_state
        return reply

    async def abort(self, reason: str) -> None:
        """Roll back an open transaction; its next statement is refused with this."""
        transaction = self._transaction
        if transaction is None or transaction.has_failed:
            return
        transaction.has_failed = True
        transaction.abort_reason = reason
        self._log.decision(
            "transaction aborted", session=self._caller_key, reason=reason
        )
        await self._make_runner(transaction).return_link()

    async def aclose(self) -> None:
        """Roll back an open transaction."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            with anyio.CancelScope(shield=True):
                await self._make_runner(transaction).return_link()

    async def _run(self, statement: Statement, arrived_at: timedelta) -> Reply:
        transaction = self._transaction
        if transaction is not None:
            return await self._run_in_transaction(transaction, statement, arrived_at)
        if statement.kind in _LOCAL_KINDS:
            self._state.apply(statement)
            return Reply()
        route = self._directory.route(self._database)
        if statement.kind is StatementKind.BEGIN:
            self._admission.require_time_left()
            self._identify(route)
            self._begin(route, statement, arrived_at)
            return Reply()
        if statement.kind not in _DATABASE_KINDS:
            raise CodedError(
                ResultCode.MALFORMED_FRAME, "COMMIT or ROLLBACK without BEGIN"
            )
        self._identify(route)
        with self._admission.admit(route.objective):
            reply = await self._run_single(route, statement, arrived_at)
        if self._state.is_write(statement):
            self._record_commit(route.service, reply)
        return reply

    async def _run_single(
        self, route: Route, statement: Statement, arrived_at: timedelta
    ) -> Reply:
        """Run a statement outside a transaction, here or at another instance."""
        last_commit = self._last_commits.get(route.service)
        if not self._state.is_write(statement):
            with self._stages.measure(RELAY):
                reply = await self._elsewhere.run_read(
                    self._requester,
                    statement,
                    self._state,
                    route,
                    arrived_at,
                    last_commit,
                )
            if reply is not None:
                return reply
        single = SingleStatement(
            self._requester,
            statement,
            self._state,
            route,
            self._directory.service(route.service),
            self._directory,
            self._stages,
        )
        return await single.run(arrived_at, last_commit)

    def _identify(self, route: Route) -> None:
        """Find for whom the caller acts, by the configuration in force."""
        try:
            organisation = self._identity.identify(route, self._key_digest)
        except CodedError as error:
            is_key_refused = error.code is ResultCode.AUTHENTICATION_FAILED
            if is_key_refused and not self._is_refused:
                self._is_refused = True
                former = self._requester.organisation
                self._identity.log_refusal(self._caller_key, self._database, former)
            raise
        self._is_refused = False
        self._requester = _make_requester(self._caller_key, organisation)

    def _identify_in_transaction(self, transaction: OpenTransaction) -> None:
        """Check that the transaction may go on for the organisation that it is of.

        Raises
        ------
        CodedError
            AUTHENTICATION_FAILED or ROLLED_BACK; the transaction must be rolled back.
        """
        if transaction.route.is_open:
            return
        former = self._requester.organisation
        try:
            self._identify(transaction.route)
        except CodedError as error:
            if error.code is ResultCode.IDENTITY_UNPROVEN:
                raise CodedError(ResultCode.ROLLED_BACK, str(error)) from error
            raise CodedError(error.code, f"{error.detail}; rolled back") from error
        current = self._requester.organisation
        if transaction.link is not None and current != former:
            # The database was told of the former one.
            detail = f"the key was of {former!r} and is of {current!r} now"
            raise CodedError(ResultCode.ROLLED_BACK, detail)

    def _begin(self, route: Route, statement: Statement, now: timedelta) -> None:
        service = self._directory.service(route.service)
        self._transaction = OpenTransaction(
            route, service, statement.is_read_only, began_at=now
        )

    async def _run_in_transaction(
        self, transaction: OpenTransaction, statement: Statement, arrived_at: timedelta
    ) -> Reply:
        if statement.kind is StatementKind.ROLLBACK:
            self._transaction = None
            await self._make_runner(transaction).return_link()
            return Reply()
        if statement.kind is StatementKind.COMMIT:
            self._transaction = None
            return await self._commit(transaction, statement, arrived_at)
        if transaction.abort_reason:
            reason, transaction.abort_reason = transaction.abort_reason, ""
            raise CodedError(ResultCode.ROLLED_BACK, reason)
        if transaction.has_failed:
            raise CodedError(ResultCode.TRANSACTION_FAILED)
        if statement.kind is StatementKind.BEGIN:
            transaction.has_failed = True
            await self._make_runner(transaction).return_link()
            raise CodedError(ResultCode.MALFORMED_FRAME, "BEGIN in an open transaction")
        if statement.kind in _LOCAL_KINDS:
            self._state.apply(statement)
            return Reply()
        return await self._run_or_mark_failed(transaction, statement, arrived_at)

    async def _run_or_mark_failed(
        self, transaction: OpenTransaction, statement: Statement, arrived_at: timedelta
    ) -> Reply:
        try:
            self._identify_in_transaction(transaction)
            runner = self._make_runner(transaction)
            if transaction.link is not None:
                return await runner.run(statement, arrived_at)
            with self._admission.admit(transaction.route.objective):
                return await runner.run(statement, arrived_at)
        except CodedError:
            transaction.has_failed = True
            await self._make_runner(transaction).return_link()
            raise

    async def _commit(
        self, transaction: OpenTransaction, statement: Statement, arrived_at: timedelta
    ) -> Reply:
        runner = self._make_runner(transaction)
        if transaction.has_failed:
            await runner.return_link()
            detail = transaction.abort_reason or "the transaction had failed"
            raise CodedError(ResultCode.ROLLED_BACK, detail)
        try:
            self._identify_in_transaction(transaction)
            # Made after the check, which says for whom the statement runs.
            runner = self._make_runner(transaction)
            reply = await runner.run(statement, arrived_at)
        finally:
            await runner.return_link()
        if transaction.has_written:
            self._record_commit(transaction.route.service, reply)
        return reply

    def _record_commit(self, service: str, reply: Reply) -> None:
        if reply.position is not None:
            self._last_commits[service] = reply.position

    def _make_runner(self, transaction: OpenTransaction) -> TransactionRunner:
        return TransactionRunner(
            self._requester,
            transaction,
            self._state,
            self._last_commits.get(transaction.route.service),
            self._directory,
            self._stages,
            self._elsewhere,
        )

    def _record_metrics(
        self, statement: Statement, reply: Reply, elapsed: timedelta
    ) -> None:
        metrics = self._directory.metrics
        code = "ok" if reply.error is None else f"GP{reply.error.number}"
        metrics.count("statements_total", kind=statement.kind.name, code=code)
        if statement.kind in _DATABASE_KINDS or statement.kind is StatementKind.COMMIT:
            name = f"{statement.kind.name.lower()}_latency"
            metrics.observe_ms(name, elapsed / timedelta(milliseconds=1))
            self._log_if_late(statement, elapsed)

    def _log_if_late(self, statement: Statement, elapsed: timedelta) -> None:
        route = self._directory.table.routes.get(self._database)
        if route is not None and elapsed > route.objective:
            log_late_statement(
                self._log,
                statement,
                route.service,
                self._requester.organisation,
                elapsed,
                self._stages,
            )

    def _make_interrupted_error(
        self, statement: Statement, transaction: OpenTransaction | None
    ) -> CodedError:
        """Return what is known of a statement that was not waited for any longer."""
        detail = "the instance ends"
        is_commit = statement.kind is StatementKind.COMMIT
        if transaction is None:
            is_unknown = self._state.is_write(statement)
            code = ResultCode.ANSWER_INTERRUPTED
        else:
            is_unknown = is_commit and transaction.has_written
            code = ResultCode.ROLLED_BACK
        return CodedError(ResultCode.OUTCOME_UNKNOWN if is_unknown else code, detail)

    def _make_error_reply(
        self, statement: Statement, error: CodedError, arrived_at: timedelta
    ) -> Reply:
        elapsed = self._clock.now() - arrived_at
        self._log.decision(
            "statement failed",
            request=statement.request_id,
            session=self._caller_key,
            organisation=self._requester.organisation,
            kind=statement.kind.name,
            code=f"GP{error.code.number}",
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            elapsed_ms=round(elapsed.total_seconds() * 1000),
            version=self._directory.table.version,
            stages_ms=self._stages.to_milliseconds(),
        )
        return Reply(error=error.code, detail=error.text)


def _make_requester(session: str, organisation: Organisation | None) -> Requester:
    if organisation is None:
        return Requester(session)
    weight = compute_weight(organisation.priority)
    return Requester(session, organisation.name, weight)

"""Serves requests of other instances on the connections that this one holds."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..overload.admission import Admission
from ..pool.requester import Requester
from ..serving.commit_block import CommitBlock
from ..serving.directory import Directory
from ..serving.late_statement import log_late_statement
from ..serving.link import Link
from ..serving.link_checkout import return_link
from ..serving.open_transaction import OpenTransaction
from ..serving.reply import Reply
from ..serving.route import Route
from ..serving.served_database import ServedDatabase
from ..serving.session_state import SessionState
from ..serving.shape import Shape
from ..serving.single_statement import SingleStatement
from ..serving.stage_times import StageTimes
from ..serving.statement import Statement
from ..serving.statement_kind import StatementKind
from ..serving.transaction_runner import TransactionRunner
from ..serving.transaction_state import TransactionState
from ..settings.socket_timeouts import set_timeouts
from . import messages
from .channel import Channel

# Time limit of a request to a database. Requesters stop waiting earlier, and a
# connection without traffic is detected as lost before this time.
REQUEST_TIMEOUT_S = 15.0
_MILLISECOND = timedelta(milliseconds=1)
_ENDING = "the holder is shutting down"
AnswerFollower = Callable[[messages.Follow], Awaitable[messages.Followed]]


class RelayServer:
    """Accepts channels of other instances.

    Parameters
    ----------
    directory : Directory
        Services and leader verifiers of this instance.
    answer_follower : callable
        Answers a request for the changes of the store's tables.
    admission : Admission
        Refuses statements that this instance has no processor time for, or no time
        left to answer.
    """

    __slots__ = ("_admission", "_answer_follower", "_directory", "_sessions")

    def __init__(
        self,
        directory: Directory,
        answer_follower: AnswerFollower,
        admission: Admission,
    ):
        self._directory = directory
        self._answer_follower = answer_follower
        self._admission = admission
        self._sessions: set[_ChannelSession] = set()

    @property
    def has_work(self) -> bool:
        """Whether connections are lent, or statements run, for other instances."""
        return any(session.has_work for session in self._sessions)

    async def end_transactions(self) -> None:
        """Roll transactions back, those with a running statement after its answer.

        To be called once the admission is stopped.
        """
        async with anyio.create_task_group() as tasks:
            for session in list(self._sessions):
                tasks.start_soon(session.end_transaction)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve one channel until it is closed or fails."""
        set_timeouts(stream.extra(SocketAttribute.raw_socket))
        session = _ChannelSession(
            Channel(stream), self._directory, self._answer_follower, self._admission
        )
        self._sessions.add(session)
        try:
            await session.serve()
        except CodedError as error:
            if error.code is not ResultCode.ANSWER_INTERRUPTED:
                self._directory.log.decision("channel dropped", detail=str(error))
        finally:
            self._sessions.discard(session)
            with anyio.CancelScope(shield=True):
                await session.aclose()


class _ChannelSession:
    """One channel and the connection checked out over it, if any."""

    __slots__ = (
        "_admission",
        "_answer_follower",
        "_channel",
        "_charge",
        "_directory",
        "_is_responding",
        "_is_rolled_back",
        "_is_running",
        "_link",
        "_served",
    )

    def __init__(
        self,
        channel: Channel,
        directory: Directory,
        answer_follower: AnswerFollower,
        admission: Admission,
    ):
        self._admission = admission
        self._answer_follower = answer_follower
        self._channel = channel
        self._directory = directory
        self._charge: Any = None
        self._is_responding = False
        # Whether the borrower's transaction was rolled back between two statements.
        self._is_rolled_back = False
        self._is_running = False
        self._link: Link | None = None
        self._served: ServedDatabase | None = None

    @property
    def has_work(self) -> bool:
        """Whether a connection is lent, or a statement runs, over this channel."""
        return self._link is not None or self._is_running

    async def serve(self) -> None:
        """Respond to messages in order."""
        while True:
            request = messages.decode_request(await self._channel.receive())
            if isinstance(request, messages.Return):
                self._is_rolled_back = False
                await self._return_link(request.is_broken)
                continue
            self._is_responding = True
            try:
                response = await self._respond(request)
            except CodedError as error:
                response = messages.to_refused(error)
            await self._channel.send(response)
            self._is_responding = False
            if self._admission.is_stopped:
                await self.end_transaction()

    async def end_transaction(self) -> None:
        """Roll back the borrower's transaction unless a statement of it runs."""
        link = self._link
        if self._is_responding or link is None or link.state is TransactionState.IDLE:
            return
        self._is_rolled_back = True
        self._directory.log.decision(
            "transaction aborted", database=self._served.database_id, reason=_ENDING
        )
        await self._return_link(is_broken=False)

    async def aclose(self) -> None:
        """Roll back an open transaction and close the channel."""
        await self._return_link(is_broken=False)
        await self._channel.aclose()

    async def _respond(self, request: messages.Request) -> messages.Response:
        if self._admission.is_stopped:
            refusal = self._refuse_new(request)
            if refusal is not None:
                return refusal
        match request:
            case messages.Lend():
                return await self._check_out(request)
            case messages.Run():
                return await self._run(request)
            case messages.Prove():
                return await self._verify_leader(request)
            case messages.Seal():
                return await self._block_commits(request)
            case messages.Release():
                self._directory.service(request.service).unblock_commits(request.token)
                return messages.Done()
            case messages.Follow():
                return await self._answer_follower(request)
            case messages.Charge():
                self._charge = self._directory.admission.charge(request.organisation)
                return messages.Done()
            case messages.Refund():
                charge, self._charge = self._charge, None
                self._directory.admission.refund(charge)
                return messages.Done()
            case messages.Probe():
                return messages.Done()
            case messages.HandOver():
                self._directory.admission.accept(request.handovers)
                return messages.Done()
        if self._link is None:
            raise CodedError(ResultCode.PEER_MALFORMED, "no connection is checked out")
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                return await self._run_request(self._link, request)
        except TimeoutError as error:
            self._link.is_broken = True
            raise CodedError(
                ResultCode.ANSWER_INTERRUPTED, "no answer in time"
            ) from error
        except BaseException:
            self._link.is_broken = True
            raise

    def _refuse_new(self, request: messages.Request) -> messages.Response | None:
        """Refuse what may not be answered in time; None for what may go on."""
        match request:
            case messages.Lend() | messages.Run():
                raise CodedError(ResultCode.PEER_HOLDS_NOTHING, _ENDING)
            case messages.Rollback() if self._is_rolled_back:
                return messages.to_answer(Reply())
            case messages.Execute() if self._is_rolled_back:
                reply = Reply(error=ResultCode.ROLLED_BACK, detail=_ENDING)
                return messages.to_answer(reply)
            case messages.Execute() | messages.Begin():
                if self._link is None or self._link.state is not TransactionState.IDLE:
                    return None
                reply = Reply(error=ResultCode.ENDPOINT_BUSY, detail=_ENDING)
                return messages.to_answer(reply)
        return None

    async def _check_out(self, request: messages.Lend) -> messages.Response:
        await self._return_link(is_broken=False)
        service = self._directory.services.get(request.service)
        served = service and service.databases.get(request.database_id)
        self._require_held(request.service)
        if served is None:
            name = f"{request.service}/{request.database_id}"
            dropped = service.recently_unlisted() if service else ()
            is_dropped = any(d.database_id == request.database_id for d in dropped)
            # Another holder, which may not know yet that it leaves, is not to be asked.
            if request.organisation and is_dropped:
                raise CodedError(ResultCode.ENDPOINT_LEAVING, f"{name}: dropped here")
            detail = f"{name}: unknown to this instance"
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail)
        deadline = self._directory.clock.now() + request.wait_ms * _MILLISECOND
        requester = Requester(request.caller, request.organisation, request.weight)
        self._link = await served.pool.lend(
            request.is_charged, deadline, requester, request.lane, request.priority
        )
        self._served = served
        return messages.Lent(self._link.values, list(self._link.prepared))

    async def _run(self, request: messages.Run) -> messages.Response:
        """Run a statement of another instance's caller, if there is time for it."""
        with self._admission.admit(request.objective_ms * _MILLISECOND):
            self._is_running = True
            try:
                if isinstance(request, messages.Open):
                    return await self._open_transaction(request)
                return await self._run_read(request)
            finally:
                self._is_running = False

    async def _run_read(self, request: messages.Run) -> messages.Response:
        """Run another instance's read, as a caller's of this one.

        It is as if it had arrived now: what it must show is no older than at its
        arrival there.
        """
        directory = self._directory
        self._require_home_or_holder(request)
        route, statement, session = _read_run(request)
        stages = StageTimes(directory.clock)
        single = SingleStatement(
            Requester(request.caller, request.organisation, request.weight),
            statement,
            session,
            route,
            directory.service(request.service),
            directory,
            stages,
        )
        last_commit = messages.to_position(request.last_commit)
        arrived_at = directory.clock.now()
        try:
            reply = await single.run(arrived_at, last_commit)
        finally:
            self._log_if_late(request, statement, arrived_at, stages)
        return messages.to_answer(reply)

    async def _open_transaction(self, request: messages.Open) -> messages.Response:
        """Open a transaction of another instance's caller with its first statement."""
        directory = self._directory
        await self._return_link(is_broken=False)
        self._require_home_or_holder(request)
        route, statement, session = _read_run(request)
        stages = StageTimes(directory.clock)
        arrived_at = directory.clock.now()
        transaction = OpenTransaction(
            route, directory.service(request.service), request.is_read_only, arrived_at
        )
        runner = TransactionRunner(
            Requester(request.caller, request.organisation, request.weight),
            transaction,
            session,
            messages.to_position(request.last_commit),
            directory,
            stages,
        )
        try:
            reply = await runner.run(statement, arrived_at)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await runner.return_link()
            raise
        finally:
            self._log_if_late(request, statement, arrived_at, stages)
        self._link, self._served = transaction.link, transaction.served
        return messages.Opened(
            transaction.served.database_id,
            self._link.values,
            list(self._link.prepared),
            messages.to_answer(reply),
        )

    def _log_if_late(
        self,
        request: messages.Run,
        statement: Statement,
        arrived_at: timedelta,
        stages: StageTimes,
    ) -> None:
        elapsed = self._directory.clock.now() - arrived_at
        if elapsed > request.objective_ms * _MILLISECOND:
            log_late_statement(
                self._directory.log,
                statement,
                request.service,
                request.organisation,
                elapsed,
                stages,
            )

    def _require_home_or_holder(self, request: messages.Run) -> None:
        if request.organisation:
            self._directory.admission.require_home(
                request.service, request.organisation
            )
        else:
            self._require_held(request.service)

    async def _verify_leader(self, request: messages.Prove) -> messages.Response:
        self._require_held(request.service)
        service = self._directory.service(request.service)
        now = self._directory.clock.now()
        leader_verifier = self._directory.leader_verifier(request.service)
        if leader_verifier.is_leader_full():
            detail = (
                f"the leader of {request.service} has no free connection for this"
                " instance"
            )
            raise CodedError(ResultCode.PEER_HOLDS_NOTHING, detail)
        sample = await leader_verifier.wait_for_sample(
            now, now + request.wait_ms * _MILLISECOND
        )
        leader = service.leader()
        if leader is None:
            raise CodedError(ResultCode.NO_PRIMARY, request.service)
        return messages.Proved(leader.database_id, sample.position)

    async def _block_commits(self, request: messages.Seal) -> messages.Response:
        # A previous holder responds too: it may have sent commits before.
        service = self._directory.service(request.service)
        limit = request.wait_ms * _MILLISECOND
        block = CommitBlock(
            request.service, request.token, request.previous_leader, request.candidate
        )
        position = await service.block_commits(block, limit)
        tracker = service.commit_tracker
        return messages.Sealed(
            position, tracker.known_acknowledged, not tracker.is_idle
        )

    def _require_held(self, service: str) -> None:
        if not self._directory.holds(service):
            detail = f"this instance does not hold {service}"
            raise CodedError(ResultCode.PEER_HOLDS_NOTHING, detail)

    async def _run_request(
        self, link: Link, request: messages.Request
    ) -> messages.Response:
        self._served.pool.resume(link)
        match request:
            case messages.Execute():
                reply = await self._execute(link, request)
            case messages.Begin():
                min_position = messages.to_position(request.min_position)
                reply = await link.begin(request.is_read_only, min_position)
            case messages.Rollback():
                reply = await link.rollback()
            case _:
                return await self._prepare_session(link, request)
        self._served.record_reply(link, reply)
        if link.state is TransactionState.OPEN:
            self._served.pool.suspend(link)
        return messages.to_answer(reply)

    async def _execute(self, link: Link, request: messages.Execute) -> Reply:
        shape = None if request.shape is None else Shape(*request.shape)
        statement = messages.to_statement(request)
        min_position = messages.to_position(request.min_position)

        async def execute() -> Reply:
            return await link.execute(statement, shape, min_position)

        is_commit = statement.kind is StatementKind.COMMIT
        is_write = request.is_write or (shape is not None and shape.is_write)
        if is_commit or (is_write and link.state is TransactionState.IDLE):
            service = self._directory.service(self._served.database.service)
            try:
                return await service.track_commit(execute)
            except CodedError as error:
                if error.code is not ResultCode.NO_PRIMARY:
                    raise
                # Nothing was sent. An error of the channel would say less, and end
                # the use of the connection.
                return Reply(error=error.code, detail=error.detail, state=link.state)
        return await execute()

    async def _prepare_session(
        self, link: Link, request: messages.Request
    ) -> messages.Response:
        match request:
            case messages.Reset():
                await link.reset()
            case messages.SetValue():
                await link.set_value(request.name, request.value)
            case messages.Prepare():
                await link.prepare(Shape(request.is_write, request.text))
        return messages.Done()

    async def _return_link(self, is_broken: bool) -> None:
        link, self._link = self._link, None
        if link is None:
            return
        link.is_broken = link.is_broken or is_broken
        is_open = link.state is not TransactionState.IDLE
        await return_link(self._served.pool, link, is_open)


def _read_run(request: messages.Run) -> tuple[Route, Statement, SessionState]:
    """Return what a caller of this instance would have declared and sent."""
    session = SessionState()
    session.values = request.values
    if request.shape is not None:
        session.prepared[request.name] = Shape(*request.shape)
    route = Route(
        "",
        request.service,
        request.policy,
        request.max_age_ms * _MILLISECOND,
        request.wait_ms * _MILLISECOND,
        request.objective_ms * _MILLISECOND,
        request.priority,
    )
    statement = Statement(
        request.request_id,
        request.kind,
        request.text,
        request.name,
        request.argument,
        isinstance(request, messages.Open) and request.is_write,
    )
    return route, statement, session

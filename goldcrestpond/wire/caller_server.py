"""Accepts connections of callers and runs their sessions."""

import logging
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream
from pygwire.messages import CancelRequest, StartupMessage

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..events.recorder import EventRecorder
from ..frames.accept_connections import accept_connections
from ..frames.build import error_frame
from ..tasks.supervised_tasks import SupervisedTasks
from .build_greeting import build_greeting
from .caller_access import CallerAccess
from .caller_session import CallerSession
from .caller_stream import CallerGone, CallerStream
from .cancel_registry import CancelRegistry
from .checkout import Checkout
from .declarations import Declarations
from .idle_transactions import end_idle_transactions
from .route_binding import FindService, RouteBinding, WaitConfiguration
from .scram_login import log_in_by_scram
from .session_context import SessionContext, StartAttempts
from .session_limits import SessionLimits
from .session_metrics import SessionMetrics
from .session_startup import apply_startup_parameters, read_identity
from .startup import read_startup

CancelAtEndpoint = Callable[[Checkout], None]
_log = logging.getLogger("goldcrestpond.wire")


class CallerServer:
    """Server for the callers of one process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    wait_configuration : callable
        Waits until a configuration may be served and returns it, given a deadline
        on the monotonic clock.
    find_service : callable
        Returns the service of a group by its name.
    cancel_at_endpoint : callable
        Starts to cancel the request that runs on a checked-out connection.
    limits : SessionLimits
        Limits of each session.
    caller_limit : int
        Greatest number of callers at a time.
    clock : Clock
        Monotonic clock.
    metrics : SessionMetrics
        Counters and timers.
    events : EventRecorder
        Record of events.
    access : CallerAccess
        Credentials and TLS rules.
    start_attempts : callable
        Returns the ``RequestAttempts`` of a request; see ``SessionContext``.

    Attributes
    ----------
    caller_count : int
        Number of open connections of callers.
    """

    __slots__ = (
        "_accept_scope",
        "_caller_limit",
        "_cancel_at_endpoint",
        "_cancel_registry",
        "_clock",
        "_access",
        "_events",
        "_find_service",
        "_instance",
        "_is_stopping",
        "_limits",
        "_metrics",
        "_timed_out",
        "_sessions",
        "_start_attempts",
        "_wait_configuration",
        "caller_count",
    )

    def __init__(
        self,
        instance: str,
        wait_configuration: WaitConfiguration,
        find_service: FindService,
        cancel_at_endpoint: CancelAtEndpoint,
        limits: SessionLimits,
        caller_limit: int,
        clock: Clock,
        metrics: SessionMetrics,
        events: EventRecorder,
        access: CallerAccess,
        start_attempts: StartAttempts,
    ):
        self._access = access
        self._start_attempts = start_attempts
        self._instance = instance
        self._wait_configuration = wait_configuration
        self._find_service = find_service
        self._cancel_at_endpoint = cancel_at_endpoint
        self._limits = limits
        self._caller_limit = caller_limit
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._cancel_registry = CancelRegistry()
        self._sessions: dict[CallerSession, anyio.CancelScope] = {}
        self._timed_out: set[CallerSession] = set()
        self._is_stopping = False
        self._accept_scope = anyio.CancelScope()
        self.caller_count = 0

    async def serve(
        self, listener: anyio.abc.Listener[SocketStream], tasks: SupervisedTasks
    ) -> None:
        """Accept callers until ``stop_accepting``; run their sessions in ``tasks``."""
        tasks.start_loop(
            end_idle_transactions,
            lambda: self._sessions,
            self._end_idle_session,
            self._limits.idle_transaction_timeout,
            self._clock,
        )
        with self._accept_scope:
            async with listener:
                await accept_connections(
                    listener, self._serve_connection, tasks, _log_accept_failure
                )

    def _end_idle_session(self, session: CallerSession) -> None:
        self._timed_out.add(session)
        self._sessions[session].cancel()

    def stop_accepting(self) -> None:
        """Close the listener; connections already accepted stay open."""
        self._is_stopping = True
        self._accept_scope.cancel()

    def close_idle_sessions(self) -> None:
        """End each session as soon as it has no request or transaction in flight."""
        for session in self._sessions:
            session.stop()

    def close_all_sessions(self) -> None:
        """End all sessions at once, also those with work in flight."""
        for session, scope in self._sessions.items():
            session.was_answer_due = session.is_answer_due
            scope.cancel()

    async def _serve_connection(self, connection: SocketStream) -> None:
        stream = CallerStream(connection, self._limits.frame_limit_bytes)
        self.caller_count += 1
        try:
            await self._serve_caller(stream)
        except CallerGone:
            pass
        except CodedError as error:
            await self._send_fatal(stream, error)
        except Exception:
            _log.exception("wire: session failed")
            await self._send_fatal(stream, CodedError(ResultCode.INTERNAL))
        finally:
            self.caller_count -= 1
            await stream.aclose()

    async def _serve_caller(self, stream: CallerStream) -> None:
        message = await self._read_startup(stream)
        if isinstance(message, CancelRequest):
            self._cancel_registry.cancel(message.process_id, bytes(message.secret_key))
            return
        if self._is_stopping:
            raise CodedError(ResultCode.SHUTTING_DOWN)
        if self.caller_count > self._caller_limit:
            raise CodedError(ResultCode.TOO_MANY_CALLERS)
        session = await self._open_session(stream, message)
        await self._log_in(stream, message)
        await self._run_session(stream, session)

    async def _read_startup(
        self, stream: CallerStream
    ) -> StartupMessage | CancelRequest:
        timeout = self._limits.startup_timeout.total_seconds()
        with anyio.move_on_after(timeout):
            return await read_startup(stream, self._access)
        raise CodedError(ResultCode.MALFORMED_STARTUP, "startup packet timed out")

    async def _log_in(self, stream: CallerStream, message: StartupMessage) -> None:
        verifier = self._access.find_verifier(message.params["user"])
        if verifier is None:
            return
        with anyio.move_on_after(self._limits.startup_timeout.total_seconds()):
            await log_in_by_scram(stream, verifier)
            return
        raise CodedError(ResultCode.AUTHENTICATION_FAILED, "authentication timed out")

    async def _open_session(
        self, stream: CallerStream, message: StartupMessage
    ) -> CallerSession:
        identity = read_identity(message)
        declarations = Declarations()
        binding = RouteBinding(
            identity, declarations, self._wait_configuration, self._find_service
        )
        await binding.refresh(self._clock.now() + self._limits.startup_timeout)
        apply_startup_parameters(message, declarations, binding.route.group)
        context = SessionContext(
            stream,
            identity,
            declarations,
            binding,
            self._limits,
            self._clock,
            self._metrics,
            self._start_attempts,
            self._cancel_at_endpoint,
        )
        return CallerSession(context)

    async def _run_session(self, stream: CallerStream, session: CallerSession) -> None:
        key = self._cancel_registry.register(lambda: self._cancel_running(session))
        with anyio.CancelScope() as scope:
            self._sessions[session] = scope
            if self._is_stopping:
                session.stop()  # the shutdown began while the caller logged in
            try:
                await stream.send(build_greeting(*key, self._instance))
                await session.run()
            finally:
                del self._sessions[session]
                self._cancel_registry.unregister(key)
        if session in self._timed_out:
            self._timed_out.discard(session)
            raise CodedError(ResultCode.IDLE_TRANSACTION)
        if scope.cancelled_caught:
            raise _shutdown_error(session.was_answer_due)

    def _cancel_running(self, session: CallerSession) -> None:
        checkout = session.running_checkout
        if checkout is not None:
            checkout.is_cancelled = True
            self._cancel_at_endpoint(checkout)

    async def _send_fatal(self, stream: CallerStream, error: CodedError) -> None:
        _log.info("wire: session ended: %s", error)
        self._metrics.record_refusal(error.code)
        self._events.record("wire", "session_ended", code=error.code.number)
        with anyio.move_on_after(1):
            try:
                await stream.send(error_frame(error, "FATAL"))
            except CallerGone:
                return
        await stream.end_output()


def _shutdown_error(is_answer_due: bool) -> CodedError:
    """Return the error for a caller whose session ends at the shutdown's deadline."""
    if is_answer_due:
        return CodedError(ResultCode.OUTCOME_UNKNOWN, "ended at the shutdown deadline")
    return CodedError(ResultCode.SHUTTING_DOWN, "ended at the shutdown deadline")


def _log_accept_failure(error: OSError) -> None:
    _log.warning("wire: accepting a connection failed: %s", error)

"""Accepts callers and runs their sessions."""

import logging
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskGroup
from pygwire.messages import CancelRequest, StartupMessage

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..events.recorder import EventRecorder
from ..frames.accept_connections import accept_connections
from ..frames.build import error_frame
from .caller_access import CallerAccess
from .caller_session import CallerSession
from .caller_stream import CallerGone, CallerStream
from .caller_watch import watch_waiting_transactions
from .cancel_registry import CancelRegistry
from .checkout import Checkout
from .declarations import Declarations
from .greeting import greeting
from .route_binding import FindService, RouteBinding, WaitConfiguration
from .scram_login import log_in_by_scram
from .session_context import SessionContext, StartAttempts
from .session_limits import SessionLimits
from .session_metrics import SessionMetrics
from .session_startup import declare_at_startup, identify
from .startup import read_startup

CancelAtEndpoint = Callable[[Checkout], None]
_log = logging.getLogger("goldcrestpond.wire")


class CallerServer:
    """Callers of one process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    wait_configuration : callable
        Returns the configuration as soon as it may be served, given a
        monotonic reading after which it is given up.
    find_service : callable
        Returns the service of a group by its name.
    cancel_at_endpoint : callable
        Starts to cancel what a connection on loan runs.
    limits : SessionLimits
        Bounds of a session.
    caller_limit : int
        Most callers at once.
    clock : Clock
        Source of monotonic readings.
    metrics : SessionMetrics
        Counters and timers.
    events : EventRecorder
        Time line.
    entry : CallerAccess
        Who may enter.
    start_attempts : callable
        Starts the attempts at a request; see ``CallerSession``.
    """

    __slots__ = (
        "_accepting",
        "_caller_limit",
        "_cancel_at_endpoint",
        "_cancels",
        "_clock",
        "_entry",
        "_events",
        "_find_service",
        "_instance",
        "_is_stopping",
        "_limits",
        "_metrics",
        "_overdue",
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
        entry: CallerAccess,
        start_attempts: StartAttempts,
    ):
        self._entry = entry
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
        self._cancels = CancelRegistry()
        self._sessions: dict[CallerSession, anyio.CancelScope] = {}
        self._overdue: set[CallerSession] = set()
        self._is_stopping = False
        self._accepting = anyio.CancelScope()
        self.caller_count = 0

    async def serve(
        self, listener: anyio.abc.Listener[SocketStream], tasks: TaskGroup
    ) -> None:
        """Accept callers until stopped; sessions run in ``tasks``."""
        tasks.start_soon(
            watch_waiting_transactions,
            lambda: self._sessions,
            self._end_overdue,
            self._limits.idle_transaction_timeout,
            self._clock,
        )
        with self._accepting:
            async with listener:
                await accept_connections(listener, self._handle, tasks, _not_accepted)

    def _end_overdue(self, session: CallerSession) -> None:
        self._overdue.add(session)
        self._sessions[session].cancel()

    def stop_accepting(self) -> None:
        """Close the listener; connections that it has accepted go on."""
        self._is_stopping = True
        self._accepting.cancel()

    def close_idle_sessions(self) -> None:
        """End each session as soon as nothing of it is in flight."""
        for session in self._sessions:
            session.stop()

    def close_all_sessions(self) -> None:
        """End all sessions, whatever they do."""
        for session, scope in self._sessions.items():
            session.was_answer_due = session.is_answer_due
            scope.cancel()

    async def _handle(self, connection: SocketStream) -> None:
        stream = CallerStream(connection, self._limits.frame_limit_bytes)
        self.caller_count += 1
        try:
            await self._serve_caller(stream)
        except CallerGone:
            pass
        except CodedError as error:
            await self._say_fatal(stream, error)
        except Exception:
            _log.exception("wire: session failed")
            await self._say_fatal(stream, CodedError(ResultCode.INTERNAL))
        finally:
            self.caller_count -= 1
            await stream.aclose()

    async def _serve_caller(self, stream: CallerStream) -> None:
        message = await self._read_startup(stream)
        if isinstance(message, CancelRequest):
            self._cancels.cancel(message.process_id, bytes(message.secret_key))
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
            return await read_startup(stream, self._entry)
        raise CodedError(ResultCode.MALFORMED_STARTUP, "no startup packet in time")

    async def _log_in(self, stream: CallerStream, message: StartupMessage) -> None:
        verifier = self._entry.find_verifier(message.params["user"])
        if verifier is None:
            return
        with anyio.move_on_after(self._limits.startup_timeout.total_seconds()):
            await log_in_by_scram(stream, verifier)
            return
        raise CodedError(ResultCode.AUTHENTICATION_FAILED, "no proof in time")

    async def _open_session(
        self, stream: CallerStream, message: StartupMessage
    ) -> CallerSession:
        identity = identify(message)
        declarations = Declarations()
        binding = RouteBinding(
            identity, declarations, self._wait_configuration, self._find_service
        )
        await binding.refresh(self._clock.now() + self._limits.startup_timeout)
        declare_at_startup(message, declarations, binding.route.group)
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
        key = self._cancels.register(lambda: self._cancel(session))
        with anyio.CancelScope() as scope:
            self._sessions[session] = scope
            try:
                await stream.send(greeting(*key, self._instance))
                await session.run()
            finally:
                del self._sessions[session]
                self._cancels.unregister(key)
        if session in self._overdue:
            self._overdue.discard(session)
            raise CodedError(ResultCode.IDLE_TRANSACTION)
        if scope.cancelled_caught:
            raise _cut_error(session.was_answer_due)

    def _cancel(self, session: CallerSession) -> None:
        checkout = session.running
        if checkout is not None:
            checkout.is_cancelled = True
            self._cancel_at_endpoint(checkout)

    async def _say_fatal(self, stream: CallerStream, error: CodedError) -> None:
        _log.info("wire: session ended: %s", error)
        self._metrics.request_refused(error.code)
        self._events.record("wire", "session_ended", code=error.code.number)
        with anyio.move_on_after(1):
            try:
                await stream.send(error_frame(error, "FATAL"))
            except CallerGone:
                return
        await stream.end_output()


def _cut_error(is_answer_due: bool) -> CodedError:
    """Return what a caller is told whose session is cut at a shutdown."""
    if is_answer_due:
        return CodedError(ResultCode.OUTCOME_UNKNOWN, "cut at the shutdown's deadline")
    return CodedError(ResultCode.SHUTTING_DOWN, "cut at the shutdown's deadline")


def _not_accepted(error: OSError) -> None:
    _log.warning("wire: no connection accepted: %s", error)

"""State and services shared by the parts of one session."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock.clock import Clock
from ..frames.build import parameter_frame
from ..group.log_position import LogPosition
from ..retry.request_attempts import RequestAttempts
from ..session.token import Token
from .caller_stream import CallerStream
from .checkout import Checkout
from .declarations import PREFIX, Declarations
from .route_binding import RouteBinding
from .session_limits import SessionLimits
from .session_metrics import SessionMetrics
from .session_startup import Identity

StartAttempts = Callable[[str, timedelta, bool, bool], RequestAttempts]
CancelRunning = Callable[[Checkout], None]
TOKEN_PARAMETER = PREFIX + "token"


@dataclass(frozen=True, slots=True)
class SessionContext:
    """A session's connection, its state and the services that it uses.

    Attributes
    ----------
    stream : CallerStream
        The caller's connection.
    identity : Identity
        User, database and application of the caller.
    declarations : Declarations
        The session's declarations.
    binding : RouteBinding
        The session's route and the service of its group.
    limits : SessionLimits
        Limits of the session.
    clock : Clock
        Monotonic clock.
    metrics : SessionMetrics
        Counters and timers.
    start_attempts : callable
        Returns the ``RequestAttempts`` of a request, given its database name,
        its deadline and whether it is read-only and idempotent.
    cancel_running : callable
        Starts to cancel the request that runs on a checked-out connection.
    """

    stream: CallerStream
    identity: Identity
    declarations: Declarations
    binding: RouteBinding
    limits: SessionLimits
    clock: Clock
    metrics: SessionMetrics
    start_attempts: StartAttempts
    cancel_running: CancelRunning

    def request_deadline(self) -> timedelta:
        """Return the monotonic time until which a new request may wait to be run."""
        wait_ms = self.binding.route.queue_timeout_ms
        return self.clock.now() + timedelta(milliseconds=wait_ms)

    def statement_timeout_s(self) -> float:
        """Return the longest time that a statement may run, in seconds."""
        return self.binding.route.statement_timeout_ms / 1000

    def start_request(
        self, deadline: timedelta, is_read_only: bool, is_idempotent: bool
    ) -> RequestAttempts:
        """Return the ``RequestAttempts`` of a new request."""
        return self.start_attempts(
            self.identity.database, deadline, is_read_only, is_idempotent
        )

    async def acquire(self, is_read: bool, deadline: timedelta) -> Checkout:
        """Check out a connection for a request.

        Raises
        ------
        CodedError
            With a code that says that the request was not run.
        """
        service = self.binding.service
        is_aged = is_read and self.declarations.max_age is not None
        if not is_aged:
            await service.ensure_min_position(self.declarations, deadline)
        acquire = service.acquire_reader if is_read else service.acquire_primary
        return await acquire(self.declarations, self.identity.fairness_key, deadline)

    async def confirm(self, committed: LogPosition) -> bytes:
        """Wait until a commit cannot be lost.

        Parameters
        ----------
        committed : LogPosition
            Log position of the commit.

        Returns
        -------
        bytes
            ParameterStatus frame with the session's new token.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED or OUTCOME_UNKNOWN.
        """
        service = self.binding.service
        deadline = self.clock.now() + self.limits.acknowledge_timeout
        await service.monitor.confirm(committed, deadline)
        self.declarations.raise_min_position(committed)
        token = Token(service.name, self.declarations.min_position)
        return parameter_frame(TOKEN_PARAMETER, str(token))

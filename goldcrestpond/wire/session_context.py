"""What the parts of one session share."""

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
    """A session's caller, declarations and means.

    Attributes
    ----------
    stream : CallerStream
        The caller's connection.
    identity : Identity
        Who it is.
    declarations : Declarations
        What it has declared.
    binding : RouteBinding
        Its route and the group that serves it.
    limits : SessionLimits
        Bounds.
    clock : Clock
        Source of monotonic readings.
    metrics : SessionMetrics
        Counters and timers.
    start_attempts : callable
        Returns the ``RequestAttempts`` of a request, given its database name,
        its deadline and whether it is read-only and repeatable.
    cancel_running : callable
        Asks the endpoint to cancel what a connection on loan runs.
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
        """Return the reading until which a new request may wait to be run."""
        wait_ms = self.binding.route.queue_timeout_ms
        return self.clock.now() + timedelta(milliseconds=wait_ms)

    def statement_timeout_s(self) -> float:
        """Return how long a statement may run."""
        return self.binding.route.statement_timeout_ms / 1000

    def start_request(
        self, deadline: timedelta, is_read_only: bool, is_idempotent: bool
    ) -> RequestAttempts:
        """Return the attempts at a new request."""
        return self.start_attempts(
            self.identity.database, deadline, is_read_only, is_idempotent
        )

    async def acquire(self, is_read: bool, deadline: timedelta) -> Checkout:
        """Lend a connection for a request.

        Raises
        ------
        CodedError
            With a code that says "not run".
        """
        service = self.binding.service
        is_aged = is_read and self.declarations.max_age is not None
        if not is_aged:
            await service.ensure_floor(self.declarations, deadline)
        lend = service.acquire_reader if is_read else service.acquire_primary
        return await lend(self.declarations, self.identity.fairness_key, deadline)

    async def confirm(self, committed: LogPosition) -> bytes:
        """Wait until a commit cannot be lost; return the new token's frame.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED or OUTCOME_UNKNOWN.
        """
        service = self.binding.service
        deadline = self.clock.now() + self.limits.acknowledge_timeout
        await service.monitor.confirm(committed, deadline)
        self.declarations.raise_floor(committed)
        token = Token(service.name, self.declarations.min_position)
        return parameter_frame(TOKEN_PARAMETER, str(token))

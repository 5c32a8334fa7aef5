"""Polls the status of one database of a group."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import Address
from ..term.failure_kind import FailureKind
from ..term.poll_schedule import PollSchedule
from ..term.status_sample import StatusSample
from .endpoint_connection import EndpointConnection
from .endpoint_refusal import EndpointRefusal
from .group_monitor_wakeup import Wakeup
from .group_statements import read_status
from .login import Login

POLL_TIMEOUT = timedelta(milliseconds=250)  # then a new connection is opened
CONNECT_TIMEOUT = timedelta(milliseconds=350)  # to connect, log in and poll once

ConnectionOpener = Callable[[Address, Login], Awaitable[EndpointConnection]]

_logger = logging.getLogger(__name__)


class DatabasePoller:
    """Keeps one connection to a database open and polls its status over it.

    Attributes
    ----------
    database : str
        Name within the group.
    address : Address
        Address of the database.
    schedule : PollSchedule
        Determines when the next poll is due.

    Parameters
    ----------
    login : Login
        Credentials.
    open_connection : callable
        Opens a connection: ``await open_connection(address, login)``.
    clock : Clock
        Source of monotonic time.
    on_sample : callable
        Receives each ``StatusSample``.
    on_failure : callable
        Receives ``(database, FailureKind)`` of each failed poll.
    is_awaited : callable
        Given the database's name, returns whether commits or sessions wait for its
        position.
    is_suspect : callable
        Returns whether the primary may have failed or is being drained.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_is_awaited",
        "_is_suspect",
        "_login",
        "_on_failure",
        "_on_sample",
        "_open_connection",
        "_wakeup",
        "address",
        "database",
        "schedule",
    )

    def __init__(
        self,
        database: str,
        address: Address,
        login: Login,
        open_connection: ConnectionOpener,
        clock: Clock,
        *,
        on_sample: Callable[[StatusSample], None],
        on_failure: Callable[[str, FailureKind], None],
        is_awaited: Callable[[str], bool],
        is_suspect: Callable[[], bool],
    ):
        self.database = database
        self.address = address
        self.schedule = PollSchedule()
        self._login = login
        self._open_connection = open_connection
        self._clock = clock
        self._on_sample = on_sample
        self._on_failure = on_failure
        self._is_awaited = is_awaited
        self._is_suspect = is_suspect
        self._connection: EndpointConnection | None = None
        self._wakeup = Wakeup()

    def wake(self) -> None:
        """Recompute when the next poll is due."""
        self._wakeup.set()

    def record_activity(self) -> None:
        """Record that a request used the group; active groups are polled more often."""
        self.schedule.note_activity(self._clock.now())

    def request_poll(self) -> None:
        """Request a poll that is sent after this call; one in flight does not count."""
        self.schedule.request_poll(self._clock.now())
        self._wakeup.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await self._wait_until_due()
                await self._poll()
        finally:
            await self._drop_connection()

    async def _wait_until_due(self) -> None:
        while True:
            due_at = self.schedule.next_poll_at(
                is_awaited=self._is_awaited(self.database),
                is_suspect=self._is_suspect(),
            )
            remaining = due_at - self._clock.now()
            if remaining <= timedelta(0):
                return
            await self._wakeup.wait(remaining)

    async def _poll(self) -> None:
        is_fresh = self._connection is None
        timeout = CONNECT_TIMEOUT if is_fresh else POLL_TIMEOUT
        sent_at = self._clock.now()
        self.schedule.record_poll_sent(sent_at)
        try:
            with anyio.fail_after(timeout.total_seconds()):
                if self._connection is None:
                    self._connection = await self._open_connection(
                        self.address, self._login
                    )
                status = await read_status(self._connection)
        except TimeoutError:
            kind = FailureKind.SILENT_FRESH if is_fresh else FailureKind.SILENT
            await self._report_failure(kind)
        except EndpointRefusal as error:
            # The database runs, but may for instance be at its connection limit.
            _logger.info("group monitor: %s refused a poll: %s", self.database, error)
            await self._drop_connection()
        except CodedError as error:
            is_refused = error.code is ResultCode.ENDPOINT_UNREACHABLE
            await self._report_failure(
                FailureKind.REFUSED if is_refused else FailureKind.BROKEN
            )
        else:
            self._on_sample(StatusSample(status, sent_at, self._clock.now()))

    async def _report_failure(self, kind: FailureKind) -> None:
        await self._drop_connection()
        _logger.debug("group monitor: poll of %s failed: %s", self.database, kind.name)
        self._on_failure(self.database, kind)

    async def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.is_broken = True
            await connection.aclose()

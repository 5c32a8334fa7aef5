"""Polls the status of one database."""

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

POLL_LIMIT = timedelta(milliseconds=250)  # then a fresh connection is tried
CONNECT_LIMIT = timedelta(milliseconds=350)  # connect, log in and first answer

OpenConnection = Callable[[Address, Login], Awaitable[EndpointConnection]]

_logger = logging.getLogger(__name__)


class DatabasePoller:
    """Keeps one status connection to a database and polls over it.

    Attributes
    ----------
    database : str
        Name within the group.
    address : Address
        Where it is reached.
    schedule : PollSchedule
        When the next poll is due.

    Parameters
    ----------
    on_sample : callable
        Receives each ``StatusSample``.
    on_failure : callable
        Receives ``(database, FailureKind)`` of each failed poll.
    is_awaited : callable
        Tells whether commits wait for this database's position.
    is_suspect : callable
        Tells whether the group's primary is in doubt.
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
        open_connection: OpenConnection,
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
        """Look at the schedule again."""
        self._wakeup.set()

    def note_activity(self) -> None:
        """Record that a request used the group."""
        self.schedule.note_activity(self._clock.now())

    def demand(self) -> None:
        """Ask for a status sampled from now on."""
        self.schedule.demand(self._clock.now())
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
            due = self.schedule.next_poll_at(
                is_awaited=self._is_awaited(self.database),
                is_suspect=self._is_suspect(),
            )
            rest = due - self._clock.now()
            if rest <= timedelta(0):
                return
            await self._wakeup.wait(rest)

    async def _poll(self) -> None:
        is_fresh = self._connection is None
        limit = CONNECT_LIMIT if is_fresh else POLL_LIMIT
        sent_at = self._clock.now()
        self.schedule.record_poll_sent(sent_at)
        try:
            with anyio.fail_after(limit.total_seconds()):
                if self._connection is None:
                    self._connection = await self._open_connection(
                        self.address, self._login
                    )
                status = await read_status(self._connection)
        except TimeoutError:
            kind = FailureKind.SILENT_FRESH if is_fresh else FailureKind.SILENT
            await self._fail(kind)
        except EndpointRefusal as error:
            # The database is alive, for instance without room for connections.
            _logger.info("group monitor: %s refuses a poll: %s", self.database, error)
            await self._drop_connection()
        except CodedError as error:
            is_refused = error.code is ResultCode.ENDPOINT_UNREACHABLE
            await self._fail(FailureKind.REFUSED if is_refused else FailureKind.BROKEN)
        else:
            self._on_sample(StatusSample(status, sent_at, self._clock.now()))

    async def _fail(self, kind: FailureKind) -> None:
        await self._drop_connection()
        _logger.debug("group monitor: poll of %s failed: %s", self.database, kind.name)
        self._on_failure(self.database, kind)

    async def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.is_broken = True
            await connection.aclose()

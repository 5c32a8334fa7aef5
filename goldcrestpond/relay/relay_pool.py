"""The pool of a database whose connections other instances hold (shell)."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..pool.service_estimate import ServiceEstimate
from ..routing.database_load import DatabaseLoad
from ..serving.transaction_state import TransactionState
from . import messages
from .choose_holder import choose_holder
from .holder import Holder
from .remote_link import RemoteLink

RETRY_MS = 100  # another holder is asked by then


class RelayPool:
    """Borrows connections from holders; the same calls as ``ConnectionPool``.

    Parameters
    ----------
    service, database_id : str
        The database.
    holders : callable
        Returns the present holders of the service.
    availability_zone : str
        This instance's.
    clock : Clock
        Source of readings.
    rng : random.Random
        Decides between equal holders.
    """

    __slots__ = (
        "_availability_zone",
        "_clock",
        "_database_id",
        "_estimate",
        "_holders",
        "_lent_at",
        "_rng",
        "_service",
    )

    def __init__(
        self,
        service: str,
        database_id: str,
        holders: Callable[[], Sequence[Holder]],
        availability_zone: str,
        clock: Clock,
        rng: random.Random,
    ):
        self._service = service
        self._database_id = database_id
        self._holders = holders
        self._availability_zone = availability_zone
        self._clock = clock
        self._rng = rng
        self._estimate = ServiceEstimate()
        self._lent_at: dict[RemoteLink, timedelta] = {}

    @property
    def open_count(self) -> int:
        """Connections to the database: none of this instance's own."""
        return 0

    @property
    def running_count(self) -> int:
        """Connections that are borrowed."""
        return len(self._lent_at)

    @property
    def demand(self) -> int:
        """Connections that the present work uses."""
        return len(self._lent_at)

    def load(self, slots: int) -> DatabaseLoad:
        """Return how busy this instance keeps the database."""
        service_ms = self._estimate.mean / timedelta(milliseconds=1)
        return DatabaseLoad(len(self._lent_at), 0, 1, max(1, slots), service_ms)

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        caller: str,
        lane: Lane,
        priority: int,
    ) -> RemoteLink:
        """Borrow a connection.

        Raises
        ------
        CodedError
            A code that says that nothing was run.
        """
        holder = choose_holder(
            self._holders(), self._availability_zone, self._clock.now(), self._rng
        )
        if holder is None:
            detail = f"{self._service}: no holder is known"
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail, RETRY_MS)
        holder.outstanding += 1
        try:
            link = await self._borrow(holder, deadline, caller, lane, priority)
        except BaseException:
            holder.outstanding -= 1
            raise
        self._lent_at[link] = self._clock.now()
        return link

    def release(self, link: RemoteLink) -> None:
        """Give a connection back."""
        lent_at = self._lent_at.pop(link, None)
        if lent_at is None:
            return
        self._estimate.add(self._clock.now() - lent_at)
        is_intact = not link.is_broken and link.state is TransactionState.IDLE
        link.holder.end_loan(link.channel, is_intact)

    def suspend(self, link: RemoteLink) -> None:
        """Note a pause in a transaction; the holder sees it by itself."""

    def resume(self, link: RemoteLink) -> None:
        """Note a further statement; the holder sees it by itself."""

    def set_limits(self, share: int, slot_limit: int, report_slot_limit: int) -> None:
        """Take limits; they are the holders' here."""

    def start_draining(self) -> None:
        """Take no more work."""

    def close_all(self, reason: str) -> None:
        """Break off what is borrowed."""
        for link in self._lent_at:
            link.is_broken = True

    async def aclose(self) -> None:
        """End; loans end with their users."""

    async def run(self) -> None:
        """Run; nothing has to be watched."""

    async def _borrow(
        self,
        holder: Holder,
        deadline: timedelta,
        caller: str,
        lane: Lane,
        priority: int,
    ) -> RemoteLink:
        try:
            channel = await holder.take()
        except CodedError as error:
            raise _unreachable(error) from error
        wait = max(timedelta(0), deadline - self._clock.now())
        wait_ms = wait / timedelta(milliseconds=1)
        lend = messages.Lend(
            self._service, self._database_id, caller, lane.value, wait_ms, priority
        )
        try:
            response = await holder.ask(channel, lend, wait)
        except CodedError as error:
            await holder.give_back(channel)
            raise _unreachable(error) from error
        except BaseException:
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            raise
        if isinstance(response, messages.Lent):
            return RemoteLink(holder, channel, response)
        await holder.give_back(channel)
        if isinstance(response, messages.Refused):
            error = messages.to_error(response)
            if error.code is ResultCode.PEER_HOLDS_NOTHING:
                raise _unreachable(error)
            raise error
        detail = f"{holder.name}: unexpected {type(response).__name__}"
        raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail, RETRY_MS)


def _unreachable(error: CodedError) -> CodedError:
    return CodedError(ResultCode.ENDPOINT_UNREACHABLE, error.detail, RETRY_MS)

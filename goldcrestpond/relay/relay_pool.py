"""The pool of a database whose connections are held by other instances."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio
import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..pool.requester import Requester
from ..pool.service_estimate import ServiceEstimate
from ..routing.database_load import DatabaseLoad
from ..serving.transaction_state import TransactionState
from . import messages
from .choose_holder import choose_holder
from .holder import Holder
from .remote_link import RemoteLink

RETRY_AFTER_MS = 100  # long enough for another holder to be chosen
# Errors of a holder that say nothing about the database.
_HOLDER_FAILURE_CODES = frozenset(
    {
        ResultCode.PEER_HOLDS_NOTHING,
        ResultCode.PEER_MALFORMED,
        ResultCode.PEER_UNREACHABLE,
    }
)


class RelayPool:
    """Checks out connections of holders; has the interface of ``ConnectionPool``.

    Parameters
    ----------
    service, database_id : str
        Name of the service and id of the database.
    holders : callable
        Returns the current holders of the service.
    availability_zone : str
        Availability zone of this instance.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses between holders with equal load.
    """

    __slots__ = (
        "_availability_zone",
        "_checked_out_at",
        "_clock",
        "_database_id",
        "_estimate",
        "_holders",
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
        self._checked_out_at: dict[RemoteLink, timedelta] = {}

    @property
    def open_count(self) -> int:
        """Open connections of this instance to the database: always 0."""
        return 0

    @property
    def running_count(self) -> int:
        """Connections that are checked out."""
        return len(self._checked_out_at)

    @property
    def demand(self) -> int:
        """Connections that the current work uses."""
        return len(self._checked_out_at)

    @property
    def service_time(self) -> timedelta:
        """Mean time for which a connection is checked out."""
        return self._estimate.mean

    def load(self, slots: int) -> DatabaseLoad:
        """Return the load that this instance puts on the database."""
        service_ms = self._estimate.mean / timedelta(milliseconds=1)
        return DatabaseLoad(len(self._checked_out_at), 0, 1, max(1, slots), service_ms)

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> RemoteLink:
        """Check out a connection of a holder.

        Raises
        ------
        CodedError
            ENDPOINT_UNREACHABLE if no holder responds, or the error with which it
            refused; nothing was run.
        """
        holder = choose_holder(
            self._holders(), self._availability_zone, self._clock.now(), self._rng
        )
        if holder is None:
            detail = f"{self._service}: no holder is known"
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail, RETRY_AFTER_MS)
        try:
            return await self.check_out(holder, deadline, requester, lane, priority)
        except CodedError as error:
            if error.code in _HOLDER_FAILURE_CODES:
                raise CodedError(
                    ResultCode.ENDPOINT_UNREACHABLE, error.detail, RETRY_AFTER_MS
                ) from error
            raise

    async def check_out(
        self,
        holder: Holder,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
        is_charged: bool = False,
    ) -> RemoteLink:
        """Check out a connection of one holder.

        Parameters
        ----------
        holder : Holder
            The holder.
        deadline, requester, lane, priority
            See `ConnectionPool.acquire`.
        is_charged : bool, default=False
            Whether the organisation's home is asked apart to charge the operation.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE, PEER_HOLDS_NOTHING or PEER_MALFORMED if the holder does
            not lend at all, or the error with which it refused; nothing was run.
        """
        request = messages.Lend(
            self._service,
            self._database_id,
            requester.session,
            lane.value,
            0,  # replaced once there is a channel
            priority,
            requester.organisation,
            is_charged,
            requester.weight,
        )
        holder.checkout_count += 1
        try:
            link = await self._request_link(holder, request, deadline)
        except BaseException:
            holder.checkout_count -= 1
            raise
        self._checked_out_at[link] = self._clock.now()
        return link

    def adopt(self, link: RemoteLink) -> None:
        """Count a connection that was checked out with the first statement on it."""
        link.holder.checkout_count += 1
        self._checked_out_at[link] = self._clock.now()

    def release(self, link: RemoteLink) -> None:
        """Return a connection to its holder."""
        checked_out_at = self._checked_out_at.pop(link, None)
        if checked_out_at is None:
            return
        self._estimate.add(self._clock.now() - checked_out_at)
        is_intact = not link.is_broken and link.state is TransactionState.IDLE
        link.holder.end_checkout(link.channel, is_intact)

    def suspend(self, link: RemoteLink) -> None:
        """Do nothing: the holder itself notices that a transaction pauses."""

    def resume(self, link: RemoteLink) -> None:
        """Do nothing: the holder itself notices that a transaction goes on."""

    def set_limits(self, share: int, slot_limit: int, report_slot_limit: int) -> None:
        """Do nothing: the holders apply their own limits."""

    def start_draining(self) -> None:
        """Do nothing: the holders drain their own pools."""

    def close_all(self, reason: str) -> None:
        """Mark every checked-out connection broken."""
        for link in self._checked_out_at:
            link.is_broken = True

    async def aclose(self) -> None:
        """Do nothing: checkouts end with the requests that use them."""

    async def run(self) -> None:
        """Do nothing: there are no connections to monitor."""

    async def _request_link(
        self, holder: Holder, request: messages.Lend, deadline: timedelta
    ) -> RemoteLink:
        channel = await holder.acquire_channel()
        wait = max(timedelta(0), deadline - self._clock.now())
        request = msgspec.structs.replace(
            request, wait_ms=wait / timedelta(milliseconds=1)
        )
        try:
            response = await holder.send_request(channel, request, wait)
        except CodedError:
            await holder.release_channel(channel)
            raise
        except BaseException:
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            raise
        if isinstance(response, messages.Lent):
            return RemoteLink(holder, channel, response)
        await holder.release_channel(channel)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        detail = f"{holder.name}: unexpected response {type(response).__name__}"
        raise CodedError(ResultCode.PEER_MALFORMED, detail)

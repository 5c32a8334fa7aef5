"""An instance that holds connections to a service, as others see it (shell)."""

from datetime import timedelta

import anyio
from anyio.abc import SocketAttribute, TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..serving.endpoint_health import EndpointHealth
from ..settings.address import Address
from ..settings.socket_timeouts import set_timeouts
from .channel import Channel
from .messages import Lend, Message, Prove, Refused, Response, Return

CONNECT_LIMIT = timedelta(milliseconds=300)  # many round trips between zones
ANSWER_SLACK = timedelta(milliseconds=100)  # beyond what the holder may wait
# One that says that it holds nothing is asked again after this time: views of the
# members differ for no longer than their rows take to be read.
DENIAL_MEMORY = timedelta(seconds=1)
IDLE_CHANNELS_MAX = 8  # a burst opens more; they are closed after it


class Holder:
    """Channels to one holder.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : Address
        Where it takes channels.
    availability_zone : str
        Its availability zone.
    health : EndpointHealth
        What requests have met there.
    outstanding : int
        Loans and questions that are under way.
    """

    __slots__ = (
        "_clock",
        "_denied_at",
        "_idle",
        "_tasks",
        "address",
        "availability_zone",
        "health",
        "name",
        "outstanding",
    )

    def __init__(
        self,
        name: str,
        address: Address,
        availability_zone: str,
        clock: Clock,
        tasks: TaskGroup,
    ):
        self._tasks = tasks
        self.name = name
        self.address = address
        self.availability_zone = availability_zone
        self.health = EndpointHealth()
        self.outstanding = 0
        self._clock = clock
        # Unused channels, each with when it was last known to work.
        self._idle: list[tuple[Channel, timedelta]] = []
        self._denied_at: dict[str, timedelta] = {}

    def denies(self, service: str) -> bool:
        """Return whether it has said lately that it does not hold a service."""
        denied_at = self._denied_at.get(service)
        return denied_at is not None and self._clock.now() - denied_at < DENIAL_MEMORY

    async def take(self) -> Channel:
        """Return an unused channel.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE if none can be opened; nothing was asked.
        """
        while self._idle:
            channel, _ = self._idle.pop()
            if not channel.is_broken:
                return channel
        return await self._open()

    async def give_back(self, channel: Channel) -> None:
        """Take back a channel on which nothing is outstanding."""
        if channel.is_broken or len(self._idle) >= IDLE_CHANNELS_MAX:
            with anyio.CancelScope(shield=True):
                await channel.aclose()
        else:
            self._idle.append((channel, self._clock.now()))

    def end_loan(self, channel: Channel, is_intact: bool) -> None:
        """Return what was lent over a channel, without waiting."""
        self.outstanding -= 1
        self._tasks.start_soon(self._end_loan, channel, is_intact)

    async def _end_loan(self, channel: Channel, is_intact: bool) -> None:
        if not channel.is_broken:
            try:
                await channel.send(Return(not is_intact))
            except CodedError:
                pass  # the loan ends with its channel
        await self.give_back(channel)

    async def ask(
        self, channel: Channel, message: Message, wait: timedelta
    ) -> Response:
        """Ask over a channel; the wait is the holder's, some slack is added.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE if no answer comes.
        """
        limit = wait + ANSWER_SLACK
        asked_at = self._clock.now()
        try:
            with anyio.fail_after(limit.total_seconds()):
                response = await channel.ask(message)
        except (CodedError, TimeoutError) as error:
            self.health.record_failure(self._clock.now())
            await self._close_unused_since(asked_at)
            detail = f"{self.name}: {error}"
            raise CodedError(ResultCode.PEER_UNREACHABLE, detail) from error
        self.health.record_success()
        if isinstance(message, Lend | Prove):
            self._note_denial(message.service, response)
        return response

    def _note_denial(self, service: str, response: Response) -> None:
        number = response.code if isinstance(response, Refused) else 0
        if number == ResultCode.PEER_HOLDS_NOTHING.number:
            self._denied_at[service] = self._clock.now()
        else:
            self._denied_at.pop(service, None)

    async def aclose(self) -> None:
        """Close unused channels."""
        while self._idle:
            await self._idle.pop()[0].aclose()

    async def _close_unused_since(self, asked_at: timedelta) -> None:
        """Close the channels that may have gone silent with the one just lost."""
        suspect = [channel for channel, at in self._idle if at <= asked_at]
        self._idle = [pair for pair in self._idle if pair[1] > asked_at]
        for channel in suspect:
            await channel.aclose()

    async def _open(self) -> Channel:
        try:
            with anyio.fail_after(CONNECT_LIMIT.total_seconds()):
                stream = await anyio.connect_tcp(self.address.host, self.address.port)
        except (OSError, TimeoutError) as error:
            self.health.record_failure(self._clock.now())
            detail = f"{self.name} at {self.address}: {error}"
            raise CodedError(ResultCode.PEER_UNREACHABLE, detail) from error
        set_timeouts(stream.extra(SocketAttribute.raw_socket))
        return Channel(stream)

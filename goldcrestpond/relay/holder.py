"""Requests to one instance that holds connections to a service."""

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
from .holder_watch import ANSWER_TIMEOUT, PROBE_TIMEOUT, HolderWatch
from .messages import Lend, Message, Probe, Prove, Refused, Response, Return, Run

CONNECT_TIMEOUT = timedelta(milliseconds=300)  # several cross-zone round trips
RESPONSE_SLACK = timedelta(milliseconds=100)  # added to the holder's own timeout
# An instance that reported that it does not hold a service is not asked about it for
# this time. Instances disagree about the holders only until each of them has read the
# changed rows of the member table.
DENIAL_RETENTION = timedelta(seconds=1)
_DENIAL_NUMBERS = frozenset(
    {
        ResultCode.PEER_HOLDS_NOTHING.number,
        # Its tables are too old, or its share of the organisation's rate has not begun.
        ResultCode.IDENTITY_UNPROVEN.number,
    }
)
# One instance may send all work of a large organisation to one home: six hundred
# operations a second, of 50 ms each with their wait, use 30 channels at once. More of
# them, from a score of instances, would exceed the descriptors that a home reserves. A
# burst opens more, which are closed when released.
MAX_IDLE_CHANNELS = 32
# Channels beyond this number are closed if they were not needed for this time.
MIN_IDLE_CHANNELS = 8
IDLE_CHANNEL_SPAN = timedelta(seconds=10)


class Holder:
    """A holder and the channels to it.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : Address
        Address at which it accepts channels.
    availability_zone : str
        Availability zone of the instance.
    health : EndpointHealth
        Outcomes of the requests to it.
    checkout_count : int
        Connections of the holder that are checked out or being requested.
    has_opened : bool
        Whether a channel was opened yet.
    watch : HolderWatch
        Whether it answers; used for requests that name an organisation.
    """

    __slots__ = (
        "_clock",
        "_denied_at",
        "_idle",
        "_tasks",
        "address",
        "availability_zone",
        "checkout_count",
        "has_opened",
        "health",
        "name",
        "watch",
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
        self.checkout_count = 0
        self.has_opened = False
        self._clock = clock
        # Idle channels, each with the time of its release, when it last worked.
        self._idle: list[tuple[Channel, timedelta]] = []
        self.watch = HolderWatch(self._probe, clock, tasks)
        # By service and organisation.
        self._denied_at: dict[tuple[str, str], timedelta] = {}

    def denies_service(self, service: str, organisation: str = "") -> bool:
        """Return whether it recently reported that it does not hold a service.

        Parameters
        ----------
        service : str
            The service.
        organisation : str
            Organisation that it does not serve there; empty for nameless requests.
        """
        denied_at = self._denied_at.get((service, organisation))
        return (
            denied_at is not None and self._clock.now() - denied_at < DENIAL_RETENTION
        )

    def seems_usable(self, service: str, organisation: str) -> bool:
        """Return whether it is believed to answer and to serve an organisation."""
        is_denied = self.denies_service(service, organisation)
        is_avoided = self.health.is_avoided(self._clock.now())
        return not (is_denied or is_avoided or self.watch.is_silent())

    async def acquire_channel(self) -> Channel:
        """Return an idle channel, or open one.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE if no channel can be opened; nothing was sent.
        """
        while self._idle:
            channel, _ = self._idle.pop()
            if not channel.is_broken:
                return channel
        try:
            return await self._open()
        except CodedError:
            self.health.record_failure(self._clock.now())
            raise

    async def open_ahead(self) -> None:
        """Open a channel before it is needed, if none was opened yet.

        It is not awaited by anybody: what it finds out is left to those who ask.
        """
        if self.has_opened:
            return
        try:
            channel = await self._open()
        except CodedError:
            return  # the next request notices it too, and logs it
        await self.release_channel(channel)

    async def release_channel(self, channel: Channel) -> None:
        """Keep a channel without an outstanding request for reuse, or close it."""
        if not channel.is_broken and len(self._idle) < MAX_IDLE_CHANNELS:
            now = self._clock.now()
            self._idle.append((channel, now))
            # The last one released is used first, so that the first one of the list is
            # beyond the recent peak if it is that old.
            is_unneeded = now - self._idle[0][1] >= IDLE_CHANNEL_SPAN
            if len(self._idle) <= MIN_IDLE_CHANNELS or not is_unneeded:
                return
            channel, _ = self._idle.pop(0)
        with anyio.CancelScope(shield=True):
            await channel.aclose()

    def end_checkout(self, channel: Channel, is_intact: bool) -> None:
        """Return the connection checked out over a channel, in the background."""
        self.checkout_count -= 1
        self._tasks.start_soon(self._end_checkout, channel, is_intact)

    async def _end_checkout(self, channel: Channel, is_intact: bool) -> None:
        if not channel.is_broken:
            try:
                await channel.send(Return(not is_intact))
            except CodedError:
                pass  # the holder takes the connection back when the channel ends
        await self.release_channel(channel)

    async def send_request(
        self, channel: Channel, message: Message, wait: timedelta
    ) -> Response:
        """Send a request over a channel and return the response.

        Parameters
        ----------
        channel : Channel
            An acquired channel.
        message : Message
            The request.
        wait : timedelta
            Time that the holder may take; ``RESPONSE_SLACK`` is added to it.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE if no response arrives in time.
        """
        limit = wait + RESPONSE_SLACK
        sent_at = self._clock.now()
        try:
            with anyio.fail_after(limit.total_seconds()):
                response = await channel.send_request(message)
        except (CodedError, TimeoutError) as error:
            self.health.record_failure(self._clock.now())
            await self._close_channels_idle_since(sent_at)
            detail = f"{self.name}: {error}"
            raise CodedError(ResultCode.PEER_UNREACHABLE, detail) from error
        self.health.record_success()
        self.watch.record_heard()
        if isinstance(message, Run):
            self._record_denial((message.service, message.organisation), response)
        elif isinstance(message, Lend):
            if message.is_charged:  # lending only: it need not be the home
                return response
            self._record_denial((message.service, message.organisation), response)
        elif isinstance(message, Prove):
            self._record_denial((message.service, ""), response)
        return response

    async def ask(self, message: Message, wait: timedelta) -> Response:
        """Send a request over a channel of its own; give up once it answers no probe.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE if no response arrives in time, or if a probe is not
            answered meanwhile.
        """
        channel = await self.acquire_channel()
        try:
            return await self.send_watched(channel, message, wait)
        finally:
            with anyio.CancelScope(shield=True):
                await self.release_channel(channel)

    async def send_watched(
        self, channel: Channel, message: Message, wait: timedelta
    ) -> Response:
        """Send a request over a channel; give up once the holder answers no probe.

        Raises
        ------
        CodedError
            As for `ask`.
        """
        try:
            with anyio.CancelScope() as scope:
                self.watch.add_waiting(scope)
                try:
                    return await self.send_request(channel, message, wait)
                finally:
                    self.watch.remove_waiting(scope)
        except CodedError:
            self.watch.suspect()
            raise
        detail = f"{self.name}: it answers no probe"
        raise CodedError(ResultCode.PEER_UNREACHABLE, detail)

    def _record_denial(self, denied: tuple[str, str], response: Response) -> None:
        code_number = response.code if isinstance(response, Refused) else 0
        if code_number in _DENIAL_NUMBERS:
            self._denied_at[denied] = self._clock.now()
        else:
            self._denied_at.pop(denied, None)

    async def _probe(self) -> bool:
        """Return whether the instance answers over a new connection.

        An answer ends its avoidance; no answer is no failure of a request.
        An idle one may have lost its state on the way, while the instance answers.
        """
        with anyio.move_on_after(ANSWER_TIMEOUT.total_seconds()):
            try:
                channel = await self._open(PROBE_TIMEOUT)
            except CodedError:
                return False
            try:
                await channel.send_request(Probe())
                self.health.record_success()
                return True
            except CodedError:
                return False
            finally:
                await self.release_channel(channel)
        return False

    async def aclose(self) -> None:
        """Close the idle channels."""
        while self._idle:
            await self._idle.pop()[0].aclose()

    async def _close_channels_idle_since(self, sent_at: timedelta) -> None:
        """Close the channels that were idle when a failed request was sent.

        They may have lost their connection to the holder as well.
        """
        suspect = [channel for channel, at in self._idle if at <= sent_at]
        self._idle = [pair for pair in self._idle if pair[1] > sent_at]
        with anyio.CancelScope(shield=True):
            for channel in suspect:
                await channel.aclose()

    async def _open(self, timeout: timedelta = CONNECT_TIMEOUT) -> Channel:
        try:
            with anyio.fail_after(timeout.total_seconds()):
                stream = await anyio.connect_tcp(self.address.host, self.address.port)
        except (OSError, TimeoutError) as error:
            detail = f"{self.name} at {self.address}: {error}"
            raise CodedError(ResultCode.PEER_UNREACHABLE, detail) from error
        set_timeouts(stream.extra(SocketAttribute.raw_socket))
        self.has_opened = True
        return Channel(stream)

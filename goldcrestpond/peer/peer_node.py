"""One process among its peers: sockets and timers around the decisions."""

import logging
import random

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus

from ..clock.clock import Clock
from ..configuration.revision_count import RevisionCount
from ..distribution.distribution import Distribution
from ..distribution.distribution_settings import DistributionSettings
from ..distribution.fetch_update import FetchUpdate
from ..distribution.force_query import ForceQuery
from ..distribution.local_configuration import LocalConfiguration
from ..distribution.message import Message as DistributionMessage
from ..distribution.message_received import MessageReceived as DistributionReceived
from ..distribution.update_answer import UpdateAnswer
from ..distribution.update_request import UpdateRequest
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..events.recorder import EventRecorder
from ..frames.accept_connections import accept_connections
from ..membership.leave import Leave
from ..membership.member_changed import MemberChanged
from ..membership.member_state import MemberState
from ..membership.member_update import MemberUpdate
from ..membership.membership import Membership
from ..membership.membership_settings import MembershipSettings
from ..membership.message_received import MessageReceived
from ..membership.seeds_listed import SeedsListed
from ..membership.tick import TICK_MS, Tick
from ..settings.address import Address, parse_address
from .codec import (
    DATAGRAM_LIMIT_BYTES,
    PeerMessage,
    decode_message,
    encode_message,
)
from .list_seeds import ListSeeds
from .peer_settings import PeerSettings
from .seal import Seal
from .update_stream import ask_over_stream, receive_framed, send_framed

_logger = logging.getLogger(__name__)

_SEED_PERIOD_S = 5.0
_SEED_PERIOD_ALONE_S = 0.5
# In a larger fleet an instance records only what it found out itself.
_HEARSAY_LIMIT = 100
_SEED_JITTER_MAX = 1.2
# Readings of the platform's list by all instances of a fleet together.
_LIST_READS_PER_S = 20
_OUTGOING_LIMIT = 1000
_PORT_ATTEMPTS = 20
_STREAM_TIMEOUT_S = 10.0


class PeerNode:
    """Runs membership and the spread of configuration over real sockets.

    Parameters
    ----------
    settings : PeerSettings
        Identity of the instance.
    holder : LocalConfiguration
        Configuration of the process.
    list_seeds : callable
        Returns ``IP:PORT`` of peers from the platform's lagging list.
    clock : Clock
        Source of monotonic readings.
    rng : random.Random
        Source of randomness.
    events : EventRecorder
        Receives the changes of members.

    Attributes
    ----------
    malformed_count : int
        Messages that could not be read and were dropped.
    sent_count : int
        Datagrams that were sent.
    dropped_count : int
        Datagrams that were dropped because too many waited to be sent.
    """

    def __init__(
        self,
        settings: PeerSettings,
        holder: LocalConfiguration,
        list_seeds: ListSeeds,
        clock: Clock,
        rng: random.Random,
        events: EventRecorder,
    ):
        self._settings = settings
        self._holder = holder
        self._list_seeds = list_seeds
        self._clock = clock
        self._rng = rng
        self._events = events
        self._seal = Seal(settings.key.encode())
        self._membership: Membership | None = None
        self._distribution: Distribution | None = None
        self._outgoing, self._to_send = anyio.create_memory_object_stream[
            tuple[bytes, tuple[str, int]]
        ](_OUTGOING_LIMIT)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._live_names: dict[int, str] = {}
        self._tasks: TaskGroup | None = None
        self.address: Address | None = None
        self.malformed_count = 0
        self.dropped_count = 0
        self.sent_count = 0

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._settings.instance

    @property
    def members(self) -> list[MemberUpdate]:
        """Live instances, this one included; empty before `run` started."""
        return [] if self._membership is None else self._membership.live()

    @property
    def member_count(self) -> int:
        """Count of live instances, this one included."""
        return 1 if self._membership is None else len(self._membership.table.ring)

    @property
    def pending_update_count(self) -> int:
        """Count of updates on members that are still passed on."""
        return 0 if self._membership is None else self._membership.pending_update_count

    @property
    def known_count(self) -> int:
        """Count of instances, live or cut off, this one included."""
        if self._membership is None:
            return 1
        dead = self._membership.table.tombstones_with_state(MemberState.DEAD)
        return self.member_count + len(dead)

    @property
    def live_names(self) -> list[str]:
        """Names of live instances, this one included."""
        return [self._settings.instance, *self._live_names.values()]

    def in_force(self) -> list[RevisionCount]:
        """Return the revisions of all live instances; empty if not known now."""
        if self._distribution is None:
            return []
        return self._distribution.in_force(self._clock.now())

    async def run(
        self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Take part until cancelled; then tell others that it leaves.

        Raises
        ------
        CodedError
            ADDRESS_IN_USE if the address cannot be bound.
        """
        listener, udp = await self._bind()
        async with listener, udp, anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._start_decisions()
            tasks.start_soon(self._send_all, udp)
            tasks.start_soon(self._receive_all, udp)
            tasks.start_soon(self._refresh_seeds)
            tasks.start_soon(
                accept_connections, listener, self._serve_stream, tasks, _not_accepted
            )
            task_status.started(self.address)
            try:
                await self._tick_forever()
            finally:
                await self._leave(udp)

    def announce_configuration(self) -> None:
        """Let a change of the configuration spread at once."""
        if self._distribution is not None:
            self._perform(self._distribution.handle_event(Tick(), self._clock.now()))

    async def _bind(self):
        listen = self._settings.listen
        for _ in range(_PORT_ATTEMPTS if listen.port == 0 else 1):
            try:
                listener = await anyio.create_tcp_listener(
                    local_host=listen.host, local_port=listen.port
                )
                port = listener.extra(SocketAttribute.local_port)
            except OSError as error:
                raise _in_use(listen, error) from error
            try:
                udp = await anyio.create_udp_socket(
                    local_host=listen.host, local_port=port
                )
            except OSError as error:
                await listener.aclose()
                refused = error
                continue
            self.address = Address(listen.host, port)
            return listener, udp
        raise _in_use(listen, refused) from refused

    def _start_decisions(self) -> None:
        now = self._clock.now()
        self._membership = Membership(
            self._settings.instance,
            str(self.address),
            self._settings.availability_zone,
            MembershipSettings(),
            self._rng,
            now,
        )
        self._distribution = Distribution(
            self._membership, self._holder, DistributionSettings(), self._rng, now
        )

    async def _tick_forever(self) -> None:
        while True:
            now = self._clock.now()
            self._perform(self._membership.handle_event(Tick(), now))
            self._perform(self._distribution.handle_event(Tick(), now))
            await anyio.sleep(TICK_MS / 1000)

    async def _receive_all(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, (host, port) in udp:
            self._take_datagram(data, str(Address(host, port)))

    def _take_datagram(self, data: bytes, source: str) -> None:
        try:
            message = decode_message(self._seal.open(data), DATAGRAM_LIMIT_BYTES)
        except CodedError as error:
            self.malformed_count += 1
            _logger.debug("peer: dropped a datagram of %s: %s", source, error)
            return
        now = self._clock.now()
        if isinstance(message, DistributionMessage):
            event = DistributionReceived(message, source)
            self._perform(self._distribution.handle_event(event, now))
        else:
            event = MessageReceived(message, source)
            self._perform(self._membership.handle_event(event, now))

    def _perform(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, MemberChanged):
                self._note_member(action)
            elif isinstance(action, FetchUpdate):
                self._tasks.start_soon(self._fetch, action)
            else:
                self._queue_datagram(action.address, action.message)

    def _queue_datagram(self, address: str, message: PeerMessage) -> None:
        data = self._seal.close(encode_message(message))
        try:
            self._outgoing.send_nowait((data, self._resolve(address)))
        except anyio.WouldBlock:
            self.dropped_count += 1

    def _resolve(self, address: str) -> tuple[str, int]:
        found = self._addresses.get(address)
        if found is None:
            parsed = parse_address(address)
            found = (parsed.host, parsed.port)
            self._addresses[address] = found
        return found

    async def _send_all(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, (host, port) in self._to_send:
            try:
                await udp.sendto(data, host, port)
                self.sent_count += 1
            except OSError as error:
                _logger.debug("peer: cannot send to %s:%d: %s", host, port, error)

    async def _leave(self, udp: anyio.abc.UDPSocket) -> None:
        with anyio.CancelScope(shield=True):
            for action in self._membership.handle_event(Leave(), self._clock.now()):
                data = self._seal.close(encode_message(action.message))
                try:
                    await udp.sendto(data, *self._resolve(action.address))
                except (OSError, anyio.BusyResourceError):
                    continue

    async def _refresh_seeds(self) -> None:
        alone_pause_s = _SEED_PERIOD_ALONE_S
        while True:
            seeds = await self._list_seeds()
            own = str(self.address)
            listed = SeedsListed(tuple(seed for seed in seeds if seed != own))
            self._perform(self._membership.handle_event(listed, self._clock.now()))
            if self.member_count > 1:
                pause_s = max(_SEED_PERIOD_S, self.member_count / _LIST_READS_PER_S)
                alone_pause_s = _SEED_PERIOD_ALONE_S
            else:
                pause_s = alone_pause_s
                alone_pause_s = min(2 * alone_pause_s, _SEED_PERIOD_S)
            await anyio.sleep(pause_s * self._rng.uniform(1, _SEED_JITTER_MAX))

    def _note_member(self, change: MemberChanged) -> None:
        update = change.update
        if update.is_live:
            self._live_names[update.instance_id] = update.name
        else:
            self._live_names.pop(update.instance_id, None)
            self._addresses.pop(update.address, None)
        if not change.is_own_detection and self.member_count > _HEARSAY_LIMIT:
            return
        kind = f"member_{update.state.name.lower()}"
        self._events.record(
            "membership",
            kind,
            member=update.name,
            address=update.address,
            incarnation=update.incarnation,
        )

    async def _fetch(self, action: FetchUpdate) -> None:
        host, port = self._resolve(action.address)
        try:
            message = await ask_over_stream(host, port, self._seal, action.request)
        except CodedError as error:
            _logger.debug("peer: no update from %s: %s", action.address, error)
            return
        if isinstance(message, UpdateAnswer):
            event = DistributionReceived(message, action.address)
            self._perform(self._distribution.handle_event(event, self._clock.now()))

    async def _serve_stream(self, stream: SocketStream) -> None:
        async with stream:
            try:
                with anyio.fail_after(_STREAM_TIMEOUT_S):
                    await self._answer_stream(stream)
            except CodedError as error:
                malformed = error.code is ResultCode.PEER_MALFORMED
                self.malformed_count += malformed
                _logger.debug("peer: dropped a stream: %s", error)
            except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
                _logger.debug("peer: a stream broke off: %s", type(error).__name__)

    async def _answer_stream(self, stream: SocketStream) -> None:
        match await receive_framed(stream, self._seal):
            case UpdateRequest() as request:
                answer = self._distribution.answer(request)
            case ForceQuery():
                answer = self._distribution.current_claim(self._clock.now())
            case _:
                raise CodedError(ResultCode.PEER_MALFORMED, "not a request")
        if answer is not None:
            await send_framed(stream, self._seal, answer)


def _in_use(address: Address, error: OSError) -> CodedError:
    return CodedError(ResultCode.ADDRESS_IN_USE, f"{address}: {error}")


def _not_accepted(error: OSError) -> None:
    _logger.warning("peer: no connection accepted: %s", error)

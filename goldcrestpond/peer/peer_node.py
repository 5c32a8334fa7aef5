"""Sockets and timers of one process that takes part in the fleet of instances."""

import logging
import random

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

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
from ..tasks.supervised_tasks import SupervisedTasks
from .codec import (
    DATAGRAM_LIMIT_BYTES,
    PeerMessage,
    decode_message,
    encode_message,
)
from .list_seeds import ListSeeds
from .message_authenticator import MessageAuthenticator
from .peer_settings import PeerSettings
from .update_stream import receive_framed, request_over_stream, send_framed

_logger = logging.getLogger(__name__)

_SEED_INTERVAL_S = 5.0
# First interval while no peer is known; it doubles up to `_SEED_INTERVAL_S`.
_SEED_INTERVAL_ALONE_S = 0.5
# In a larger fleet an instance records only member changes that it detected itself.
_RECORD_ALL_MAX_MEMBERS = 100
_MAX_SEED_JITTER_FACTOR = 1.2  # spreads the reads of instances over time
# Reads of the platform's list of instances by the whole fleet together.
_MAX_LIST_READS_PER_S = 20
_MAX_QUEUED_DATAGRAMS = 1000
# With port 0, the UDP port that matches the chosen TCP port may be taken.
_MAX_PORT_ATTEMPTS = 20
_STREAM_TIMEOUT_S = 10.0


class PeerNode:
    """Runs membership and configuration distribution over UDP and TCP.

    Parameters
    ----------
    settings : PeerSettings
        Identity of the instance.
    configuration : LocalConfiguration
        Configuration of this process.
    list_seeds : callable
        Returns ``IP:PORT`` of possible peers.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of randomness.
    events : EventRecorder
        Records the changes of members.

    Attributes
    ----------
    malformed_count : int
        Messages that were dropped because they could not be decoded.
    sent_count : int
        Datagrams that were sent.
    dropped_count : int
        Datagrams that were dropped because the send queue was full.
    """

    def __init__(
        self,
        settings: PeerSettings,
        configuration: LocalConfiguration,
        list_seeds: ListSeeds,
        clock: Clock,
        rng: random.Random,
        events: EventRecorder,
    ):
        self._settings = settings
        self._configuration = configuration
        self._list_seeds = list_seeds
        self._clock = clock
        self._rng = rng
        self._events = events
        self._authenticator = MessageAuthenticator(settings.key.encode())
        self._membership: Membership | None = None
        self._distribution: Distribution | None = None
        self._send_queue, self._datagrams_to_send = anyio.create_memory_object_stream[
            tuple[bytes, tuple[str, int]]
        ](_MAX_QUEUED_DATAGRAMS)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._live_names: dict[int, str] = {}
        self._tasks: SupervisedTasks | None = None
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
        """Live instances, this one included; empty before `run` has started."""
        return [] if self._membership is None else self._membership.live()

    @property
    def member_count(self) -> int:
        """Number of live instances, this one included."""
        return 1 if self._membership is None else len(self._membership.table.ring)

    @property
    def pending_update_count(self) -> int:
        """Number of member updates that are still sent to other members."""
        return 0 if self._membership is None else self._membership.pending_update_count

    @property
    def known_instance_count(self) -> int:
        """Number of live instances, this one included, and of those found dead."""
        if self._membership is None:
            return 1
        dead = self._membership.table.tombstones_with_state(MemberState.DEAD)
        return self.member_count + len(dead)

    @property
    def live_names(self) -> list[str]:
        """Names of live instances, this one included."""
        return [self._settings.instance, *self._live_names.values()]

    def in_force(self) -> list[RevisionCount]:
        """Return the revisions of all live instances; empty if currently unknown."""
        if self._distribution is None:
            return []
        return self._distribution.in_force(self._clock.now())

    async def run(
        self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Take part until cancelled, then announce to peers that this one leaves.

        Raises
        ------
        CodedError
            ADDRESS_IN_USE if the address cannot be bound.
        """
        listener, udp = await self._bind()
        async with listener, udp, anyio.create_task_group() as task_group:
            tasks = SupervisedTasks(task_group)
            self._tasks = tasks
            self._create_state_machines()
            tasks.start_loop(self._send_datagrams, udp)
            tasks.start_loop(self._receive_datagrams, udp)
            tasks.start_loop(self._refresh_seeds)
            tasks.start_loop(
                accept_connections,
                listener,
                self._serve_connection,
                tasks,
                _log_accept_failure,
            )
            task_status.started(self.address)
            try:
                await self._run_ticks()
            finally:
                await self._send_leave(udp)

    def announce_configuration(self) -> None:
        """Announce a changed configuration to peers without waiting for a tick."""
        if self._distribution is not None:
            self._perform_actions(
                self._distribution.handle_event(Tick(), self._clock.now())
            )

    async def _bind(self):
        listen = self._settings.listen
        for _ in range(_MAX_PORT_ATTEMPTS if listen.port == 0 else 1):
            try:
                listener = await anyio.create_tcp_listener(
                    local_host=listen.host, local_port=listen.port
                )
                port = listener.extra(SocketAttribute.local_port)
            except OSError as error:
                raise _address_in_use(listen, error) from error
            try:
                udp = await anyio.create_udp_socket(
                    local_host=listen.host, local_port=port
                )
            except OSError as error:
                await listener.aclose()
                bind_error = error
                continue
            self.address = Address(listen.host, port)
            return listener, udp
        raise _address_in_use(listen, bind_error) from bind_error

    def _create_state_machines(self) -> None:
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
            self._membership,
            self._configuration,
            DistributionSettings(),
            self._rng,
            now,
        )

    async def _run_ticks(self) -> None:
        while True:
            self._tasks.call(self._handle_tick)
            await anyio.sleep(TICK_MS / 1000)

    def _handle_tick(self) -> None:
        now = self._clock.now()
        self._perform_actions(self._membership.handle_event(Tick(), now))
        self._perform_actions(self._distribution.handle_event(Tick(), now))

    async def _receive_datagrams(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, (host, port) in udp:
            source = str(Address(host, port))
            self._tasks.call(self._receive_datagram, data, source)

    def _receive_datagram(self, data: bytes, source: str) -> None:
        try:
            message = decode_message(
                self._authenticator.verify(data), DATAGRAM_LIMIT_BYTES
            )
        except CodedError as error:
            self.malformed_count += 1
            _logger.debug("peer: dropped a datagram from %s: %s", source, error)
            return
        now = self._clock.now()
        if isinstance(message, DistributionMessage):
            event = DistributionReceived(message, source)
            self._perform_actions(self._distribution.handle_event(event, now))
        else:
            event = MessageReceived(message, source)
            self._perform_actions(self._membership.handle_event(event, now))

    def _perform_actions(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, MemberChanged):
                self._record_member_change(action)
            elif isinstance(action, FetchUpdate):
                self._tasks.start_soon(self._fetch_update, action)
            else:
                self._queue_datagram(action.address, action.message)

    def _queue_datagram(self, address: str, message: PeerMessage) -> None:
        data = self._authenticator.sign(encode_message(message))
        try:
            self._send_queue.send_nowait((data, self._parse_cached(address)))
        except anyio.WouldBlock:
            self.dropped_count += 1

    def _parse_cached(self, address: str) -> tuple[str, int]:
        found = self._addresses.get(address)
        if found is None:
            parsed = parse_address(address)
            found = (parsed.host, parsed.port)
            self._addresses[address] = found
        return found

    async def _send_datagrams(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, (host, port) in self._datagrams_to_send:
            try:
                await udp.sendto(data, host, port)
                self.sent_count += 1
            except OSError as error:
                _logger.debug("peer: cannot send to %s:%d: %s", host, port, error)

    async def _send_leave(self, udp: anyio.abc.UDPSocket) -> None:
        with anyio.CancelScope(shield=True):
            for action in self._membership.handle_event(Leave(), self._clock.now()):
                data = self._authenticator.sign(encode_message(action.message))
                try:
                    await udp.sendto(data, *self._parse_cached(action.address))
                except (OSError, anyio.BusyResourceError):
                    continue

    async def _refresh_seeds(self) -> None:
        next_alone_pause_s = _SEED_INTERVAL_ALONE_S
        while True:
            seeds = await self._list_seeds()
            own_address = str(self.address)
            listed = SeedsListed(tuple(s for s in seeds if s != own_address))
            self._perform_actions(
                self._membership.handle_event(listed, self._clock.now())
            )
            if self.member_count > 1:
                pause_s = max(
                    _SEED_INTERVAL_S, self.member_count / _MAX_LIST_READS_PER_S
                )
                next_alone_pause_s = _SEED_INTERVAL_ALONE_S
            else:
                pause_s = next_alone_pause_s
                next_alone_pause_s = min(2 * next_alone_pause_s, _SEED_INTERVAL_S)
            await anyio.sleep(pause_s * self._rng.uniform(1, _MAX_SEED_JITTER_FACTOR))

    def _record_member_change(self, change: MemberChanged) -> None:
        update = change.update
        if update.is_live:
            self._live_names[update.instance_id] = update.name
        else:
            self._live_names.pop(update.instance_id, None)
            self._addresses.pop(update.address, None)
        if not change.is_own_detection and self.member_count > _RECORD_ALL_MAX_MEMBERS:
            return
        kind = f"member_{update.state.name.lower()}"
        self._events.record(
            "membership",
            kind,
            member=update.name,
            address=update.address,
            incarnation=update.incarnation,
        )

    async def _fetch_update(self, action: FetchUpdate) -> None:
        host, port = self._parse_cached(action.address)
        try:
            message = await request_over_stream(
                host, port, self._authenticator, action.request
            )
        except CodedError as error:
            _logger.debug(
                "peer: cannot fetch an update from %s: %s", action.address, error
            )
            return
        if isinstance(message, UpdateAnswer):
            event = DistributionReceived(message, action.address)
            self._perform_actions(
                self._distribution.handle_event(event, self._clock.now())
            )

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            try:
                with anyio.fail_after(_STREAM_TIMEOUT_S):
                    await self._respond(stream)
            except CodedError as error:
                is_malformed = error.code is ResultCode.PEER_MALFORMED
                self.malformed_count += is_malformed
                _logger.debug("peer: dropped a connection: %s", error)
            except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
                _logger.debug("peer: a connection was lost: %s", type(error).__name__)

    async def _respond(self, stream: SocketStream) -> None:
        match await receive_framed(stream, self._authenticator):
            case UpdateRequest() as request:
                answer = self._distribution.answer(request)
            case ForceQuery():
                answer = self._distribution.current_claim(self._clock.now())
            case _:
                raise CodedError(ResultCode.PEER_MALFORMED, "message is not a request")
        if answer is not None:
            await send_framed(stream, self._authenticator, answer)


def _address_in_use(address: Address, error: OSError) -> CodedError:
    return CodedError(ResultCode.ADDRESS_IN_USE, f"{address}: {error}")


def _log_accept_failure(error: OSError) -> None:
    _logger.warning("peer: cannot accept a connection: %s", error)

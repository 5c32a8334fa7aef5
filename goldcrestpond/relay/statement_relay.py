"""Sends statements to an instance that holds connections to their service."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..pool.requester import Requester
from ..serving.directory import Directory
from ..serving.fleet_protocol import HOLDERS_BY_SERVICE
from ..serving.home_role import HomeRole
from ..serving.open_transaction import OpenTransaction
from ..serving.reply import Reply
from ..serving.route import Route
from ..serving.session_state import SessionState
from ..serving.statement import Statement
from . import messages
from .choose_holder import choose_holder
from .holder import Holder
from .order_homes import order_homes
from .remote_link import RemoteLink

_MILLISECOND = timedelta(milliseconds=1)
# A further holder is asked only while this fraction of the time limit is left.
_MIN_TIME_FRACTION = 0.25
# Errors of one holder after which the next one is asked: it may not serve the
# statement, or did not answer. A read may run twice, and a transaction is rolled back.
_NEXT_HOLDER_CODES = frozenset(
    {
        ResultCode.ANSWER_INTERRUPTED,
        ResultCode.IDENTITY_UNPROVEN,
        ResultCode.PEER_HOLDS_NOTHING,
        ResultCode.PEER_MALFORMED,
        ResultCode.PEER_UNREACHABLE,
    }
)


class StatementRelay:
    """Implements ``Elsewhere`` by the holders of the services.

    A holder proves the leader once for the reads of all instances and knows what its
    connections do, so that it chooses the database. One message and one answer pass.

    Parameters
    ----------
    directory : Directory
        Services, their holders and the homes of organisations.
    availability_zone : str
        Availability zone of this instance.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses between holders.
    """

    __slots__ = ("_availability_zone", "_clock", "_directory", "_rng")

    def __init__(
        self,
        directory: Directory,
        availability_zone: str,
        clock: Clock,
        rng: random.Random,
    ):
        self._directory = directory
        self._availability_zone = availability_zone
        self._clock = clock
        self._rng = rng

    async def run_read(
        self,
        requester: Requester,
        statement: Statement,
        session: SessionState,
        route: Route,
        arrived_at: timedelta,
        last_commit: LogPosition | None,
    ) -> Reply | None:
        """Run a read at a holder; see ``Elsewhere``."""

        async def run_at(holder: Holder, now: timedelta, wait: timedelta) -> Reply:
            request = messages.Run(
                *_encode(
                    requester, statement, session, route, arrived_at, last_commit, now
                )
            )
            response = await holder.ask(request, wait)
            if isinstance(response, messages.Answer):
                return messages.to_reply(response)
            raise _to_error(holder, response)

        return await self._run_at_any(requester, statement, route, arrived_at, run_at)

    async def open_transaction(
        self,
        requester: Requester,
        statement: Statement,
        session: SessionState,
        transaction: OpenTransaction,
        arrived_at: timedelta,
        last_commit: LogPosition | None,
    ) -> Reply | None:
        """Open a transaction at a holder; see ``Elsewhere``."""
        route = transaction.route
        is_write = session.is_write(statement)

        async def open_at(holder: Holder, now: timedelta, wait: timedelta) -> Reply:
            request = messages.Open(
                *_encode(
                    requester, statement, session, route, arrived_at, last_commit, now
                ),
                transaction.is_read_only,
                is_write,
            )
            return await self._open_at(holder, request, wait, transaction)

        return await self._run_at_any(requester, statement, route, arrived_at, open_at)

    async def _open_at(
        self,
        holder: Holder,
        request: messages.Open,
        wait: timedelta,
        transaction: OpenTransaction,
    ) -> Reply:
        channel = await holder.acquire_channel()
        try:
            response = await holder.send_watched(channel, request, wait)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            raise
        if not isinstance(response, messages.Opened):
            await holder.release_channel(channel)
            raise _to_error(holder, response)
        reply = messages.to_reply(response.answer)
        link = RemoteLink(
            holder, channel, messages.Lent(response.values, response.prepared)
        )
        link.state = reply.state
        served = transaction.service.databases.get(response.database_id)
        if served is None:
            # The holder rolls back when the channel ends.
            await channel.aclose()
            detail = f"{response.database_id} is not known here"
            raise CodedError(ResultCode.ROLLED_BACK, detail)
        served.pool.adopt(link)
        transaction.link, transaction.served = link, served
        return reply

    async def _run_at_any(
        self,
        requester: Requester,
        statement: Statement,
        route: Route,
        arrived_at: timedelta,
        run_at: Callable[[Holder, timedelta, timedelta], Awaitable[Reply]],
    ) -> Reply | None:
        """Run a statement at the first holder that answers; None if none does."""
        deadline = arrived_at + route.timeout
        for holder in self._find_holders(route.service, requester.organisation):
            now = self._clock.now()
            if deadline - now < route.timeout * _MIN_TIME_FRACTION:
                break
            holder.checkout_count += 1
            try:
                return await run_at(holder, now, deadline - now)
            except CodedError as error:
                if error.code not in _NEXT_HOLDER_CODES:
                    raise
                self._directory.log.decision(
                    "statement sent elsewhere",
                    request=statement.request_id,
                    holder=holder.name,
                    code=f"GP{error.code.number}",
                    detail=error.detail,
                )
            finally:
                holder.checkout_count -= 1
        return None

    def _find_holders(self, service: str, organisation: str) -> list[Holder]:
        """Return whom to ask in turn; empty if this instance runs the read."""
        directory = self._directory
        directory.service(service)
        if directory.protocol < HOLDERS_BY_SERVICE:
            return []
        if not organisation:
            if directory.holds(service):
                return []
            holder = choose_holder(
                directory.other_holders(service),
                self._availability_zone,
                self._clock.now(),
                self._rng,
            )
            return [] if holder is None else [holder]
        homes = directory.home_holders(service, organisation)
        if homes.own_role is HomeRole.HOME:
            return []
        standbys = [] if homes.standby is None else [homes.standby]

        def is_usable(holder: Holder) -> bool:
            return holder.seems_usable(service, organisation)

        ordered = order_homes(homes.homes, standbys, is_usable, self._rng)
        # As the standby, this instance runs it if no home does.
        return [holder for holder in ordered if is_usable(holder)]


def _to_error(holder: Holder, response: messages.Response) -> CodedError:
    if isinstance(response, messages.Refused):
        return messages.to_error(response)
    detail = f"{holder.name}: unexpected response {type(response).__name__}"
    return CodedError(ResultCode.PEER_MALFORMED, detail)


def _encode(
    requester: Requester,
    statement: Statement,
    session: SessionState,
    route: Route,
    arrived_at: timedelta,
    last_commit: LogPosition | None,
    now: timedelta,
) -> tuple:
    """Return the fields that ``Run`` and ``Open`` have in common."""
    elapsed = now - arrived_at
    shape = session.prepared.get(statement.name) if statement.name else None
    return (
        route.service,
        requester.session,
        requester.organisation,
        requester.weight,
        statement.request_id,
        statement.kind,
        statement.text,
        statement.name,
        statement.argument,
        shape,
        session.values,
        route.policy,
        route.max_age / _MILLISECOND,
        last_commit,
        (route.timeout - elapsed) / _MILLISECOND,
        (route.objective - elapsed) / _MILLISECOND,
        route.priority,
    )

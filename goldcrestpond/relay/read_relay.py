"""Sends reads to an instance that holds connections to their service."""

import random
from datetime import timedelta

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..pool.requester import Requester
from ..serving.directory import Directory
from ..serving.fleet_protocol import HOLDERS_BY_SERVICE
from ..serving.home_role import HomeRole
from ..serving.reply import Reply
from ..serving.route import Route
from ..serving.session_state import SessionState
from ..serving.statement import Statement
from . import messages
from .choose_holder import choose_holder
from .holder import Holder
from .order_homes import order_homes

_MILLISECOND = timedelta(milliseconds=1)
# A further holder is asked only while this fraction of the time limit is left.
_MIN_TIME_FRACTION = 0.25
# Errors of one holder after which the next one is asked: it may not serve the read, or
# did not answer, and a read may run twice.
_NEXT_HOLDER_CODES = frozenset(
    {
        ResultCode.ANSWER_INTERRUPTED,
        ResultCode.IDENTITY_UNPROVEN,
        ResultCode.PEER_HOLDS_NOTHING,
        ResultCode.PEER_MALFORMED,
        ResultCode.PEER_UNREACHABLE,
    }
)


class ReadRelay:
    """Runs reads of callers at the holders of their services.

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

    async def run(
        self,
        requester: Requester,
        statement: Statement,
        session: SessionState,
        route: Route,
        arrived_at: timedelta,
        last_commit: LogPosition | None,
    ) -> Reply | None:
        """Run a read at a holder; return None if it is to be run here.

        That is so if this instance holds the service, or if no other one that does
        answers.

        Parameters
        ----------
        requester : Requester
            For whom it runs.
        statement : Statement
            The read.
        session : SessionState
            Session values and prepared statements of the caller.
        route : Route
            Route of the caller's database.
        arrived_at : timedelta
            When it arrived.
        last_commit : LogPosition or None
            Position after the last commit of the session on the service.

        Raises
        ------
        CodedError
            The error with which a holder refused or failed it.
        """
        deadline = arrived_at + route.timeout
        for holder in self._find_holders(route.service, requester.organisation):
            now = self._clock.now()
            if deadline - now < route.timeout * _MIN_TIME_FRACTION:
                break
            request = _make_request(
                requester, statement, session, route, arrived_at, last_commit, now
            )
            try:
                return await self._run_at(holder, request, deadline - now)
            except CodedError as error:
                if error.code not in _NEXT_HOLDER_CODES:
                    raise
                self._directory.log.decision(
                    "read sent elsewhere",
                    request=statement.request_id,
                    holder=holder.name,
                    code=f"GP{error.code.number}",
                    detail=error.detail,
                )
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
            is_denied = holder.denies_service(service, organisation)
            is_avoided = holder.health.is_avoided(self._clock.now())
            return not (is_denied or is_avoided or holder.watch.is_silent())

        ordered = order_homes(homes.homes, standbys, is_usable, self._rng)
        # As the standby, this instance runs it if no home does.
        return [holder for holder in ordered if is_usable(holder)]

    async def _run_at(
        self, holder: Holder, request: messages.Run, wait: timedelta
    ) -> Reply:
        holder.checkout_count += 1
        try:
            response = await holder.ask(request, wait)
        finally:
            holder.checkout_count -= 1
        if isinstance(response, messages.Answer):
            return messages.to_reply(response)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        detail = f"{holder.name}: unexpected response {type(response).__name__}"
        raise CodedError(ResultCode.PEER_MALFORMED, detail)


def _make_request(
    requester: Requester,
    statement: Statement,
    session: SessionState,
    route: Route,
    arrived_at: timedelta,
    last_commit: LogPosition | None,
    now: timedelta,
) -> messages.Run:
    elapsed = now - arrived_at
    shape = session.prepared.get(statement.name) if statement.name else None
    return messages.Run(
        route.service,
        requester.session,
        requester.organisation,
        requester.weight,
        statement.request_id,
        statement.kind.value,
        statement.text,
        statement.name,
        statement.argument,
        shape,
        session.values,
        route.policy.value,
        route.max_age / _MILLISECOND,
        last_commit,
        (route.timeout - elapsed) / _MILLISECOND,
        (route.objective - elapsed) / _MILLISECOND,
        route.priority,
    )

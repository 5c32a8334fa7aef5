"""Checks out connections where an organisation has its home."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..endpoint.connection_pool import ConnectionPool
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..pool.requester import Requester
from ..serving.decision_log import DecisionLog
from ..serving.home_admission import HomeAdmission
from ..serving.home_role import HomeRole
from ..serving.link import Link
from .choose_holder import choose_holder
from .holder import Holder
from .home_holders import HomeHolders
from .meter_client import MeterClient
from .operation_charge import OperationCharge
from .order_homes import order_homes
from .relay_pool import RETRY_AFTER_MS, RelayPool

# After another holder couldn't reach a database either, none is asked for this time:
# the database is down, which the home's refusal has told already.
ELSEWHERE_PAUSE = timedelta(seconds=1)
# Errors of one holder after which the next one is asked; nothing was run.
_NEXT_HOLDER_CODES = frozenset(
    {
        ResultCode.IDENTITY_UNPROVEN,
        ResultCode.PEER_HOLDS_NOTHING,
        ResultCode.PEER_MALFORMED,
        ResultCode.PEER_UNREACHABLE,
    }
)


class OrganisationPool:
    """Connections to one database for requests that name an organisation.

    Parameters
    ----------
    service, database_id : str
        Name of the service and id of the database.
    own_pool : ConnectionPool
        Connections of this instance.
    relay_pool : RelayPool
        Checks out connections of other holders.
    find_homes : callable
        Returns the holders that serve an organisation at the service.
    other_holders : callable
        Returns the holders of the service other than this instance.
    is_holder : callable
        Returns whether this instance holds the service.
    admission : HomeAdmission
        Tells whether this instance serves an organisation.
    meters : MeterClient
        Charges operations where they are metered.
    availability_zone : str
        Availability zone of this instance.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses between homes.
    log : DecisionLog
        Receives log events.
    """

    __slots__ = (
        "_admission",
        "_availability_zone",
        "_clock",
        "_database_id",
        "_elsewhere_failed_at",
        "_find_homes",
        "_is_holder",
        "_log",
        "_meters",
        "_on_standby",
        "_other_holders",
        "_own_pool",
        "_relay_pool",
        "_rng",
        "_service",
    )

    def __init__(
        self,
        service: str,
        database_id: str,
        own_pool: ConnectionPool,
        relay_pool: RelayPool,
        find_homes: Callable[[str], HomeHolders],
        other_holders: Callable[[], Sequence[Holder]],
        is_holder: Callable[[], bool],
        admission: HomeAdmission,
        meters: MeterClient,
        availability_zone: str,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._service = service
        self._database_id = database_id
        self._own_pool = own_pool
        self._relay_pool = relay_pool
        self._find_homes = find_homes
        self._other_holders = other_holders
        self._is_holder = is_holder
        self._admission = admission
        self._meters = meters
        self._availability_zone = availability_zone
        self._clock = clock
        self._rng = rng
        self._log = log
        self._elsewhere_failed_at: timedelta | None = None
        self._on_standby: set[str] = set()

    def is_home(self, organisation: str) -> bool:
        """Return whether this instance serves the organisation's requests itself."""
        return self._find_homes(organisation).own_role is HomeRole.HOME

    async def acquire(
        self,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Check out a connection at a home of the requester's organisation.

        If each home spends a share of the rate, one whose share is used up says nothing
        about those of the others, which are asked then; the standby is not, since its
        reserve is for lost homes.

        Raises
        ------
        CodedError
            RATE_EXCEEDED of the first home that refused; IDENTITY_UNPROVEN if one may
            not serve the organisation now; HOME_UNREACHABLE if no home and not the
            standby responds, which says nothing of the database; or the error with
            which one refused. Nothing was run.
        """
        organisation = requester.organisation
        homes = self._find_homes(organisation)
        unproven: CodedError | None = None
        exceeded: CodedError | None = None
        failures = []
        for target in self._order(homes, organisation):
            if failures and self._clock.now() >= deadline:
                break
            if exceeded is not None and not (
                _is_home(target, homes) and self._is_usable(target, organisation)
            ):
                continue
            try:
                return await self._acquire_at(
                    target, homes, term, deadline, requester, lane, priority
                )
            except CodedError as error:
                is_exceeded = error.code is ResultCode.RATE_EXCEEDED
                has_share = _is_home(target, homes) and not homes.has_one_meter
                if is_exceeded and has_share:
                    exceeded = exceeded or error
                elif error.code not in _NEXT_HOLDER_CODES:
                    raise
                if error.code is ResultCode.IDENTITY_UNPROVEN:
                    unproven = error
                name = "this instance" if target is None else target.name
                failures.append(f"{name}: {error}")
        if exceeded is not None:
            raise exceeded
        if unproven is not None:
            raise unproven
        detail = f"{self._service}: no home of {organisation!r} responds: {failures}"
        raise CodedError(ResultCode.HOME_UNREACHABLE, detail, RETRY_AFTER_MS)

    async def lend(
        self,
        is_charged: bool,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Check out a connection of this instance for another one.

        Parameters
        ----------
        is_charged : bool
            Whether the other instance has the home charge the operation.
        deadline, requester, lane, priority
            See `ConnectionPool.acquire`.

        Raises
        ------
        CodedError
            As for `HomeAdmission.require_home`, `MeterClient.start` and
            `ConnectionPool.acquire`; nothing was run.
        """
        if is_charged:
            self._admission.require_known(requester.organisation)
            return await self._own_pool.acquire(0, deadline, requester, lane, priority)
        return await self._acquire_own(0, deadline, requester, lane, priority)

    def _order(self, homes: HomeHolders, organisation: str) -> list[Holder | None]:
        """Return whom to ask in turn; None stands for this instance's connections."""
        own: list[Holder | None] = [None] if homes.own_role is HomeRole.HOME else []
        standbys: list[Holder | None] = []
        if homes.own_role is HomeRole.STANDBY:
            standbys.append(None)
        elif homes.standby is not None:
            standbys.append(homes.standby)

        def is_usable(holder: Holder | None) -> bool:
            return self._is_usable(holder, organisation)

        return own + order_homes(homes.homes, standbys, is_usable, self._rng)

    def _is_usable(self, holder: Holder | None, organisation: str) -> bool:
        """Return whether a holder is believed to answer and serve an organisation."""
        if holder is None:
            return True
        return holder.seems_usable(self._service, organisation)

    async def _acquire_at(
        self,
        target: Holder | None,
        homes: HomeHolders,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        try:
            if target is None:
                link = await self._acquire_own(
                    term, deadline, requester, lane, priority
                )
            else:
                link = await self._check_out_watched(
                    target, deadline, requester, lane, priority
                )
        except CodedError as error:
            if error.code is not ResultCode.ENDPOINT_UNREACHABLE:
                raise
            link = await self._acquire_elsewhere(
                target, error, term, deadline, requester, lane, priority
            )
        self._record_use(requester.organisation, target, _is_home(target, homes))
        return link

    async def _check_out_watched(
        self,
        holder: Holder,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
        is_charged: bool = False,
    ) -> Link:
        """Check out at a holder; give up as soon as it answers no probe."""
        is_charged = is_charged or requester.is_charged
        try:
            with anyio.CancelScope() as scope:
                holder.watch.add_waiting(scope)
                try:
                    return await self._relay_pool.check_out(
                        holder, deadline, requester, lane, priority, is_charged
                    )
                finally:
                    holder.watch.remove_waiting(scope)
        except CodedError as error:
            if error.code is ResultCode.PEER_UNREACHABLE:
                holder.watch.suspect()
            raise
        raise CodedError(ResultCode.PEER_UNREACHABLE, "it answers no probe")

    async def _acquire_own(
        self,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Check out an own connection while the operation is charged."""
        organisation = requester.organisation
        self._admission.require_home(self._service, organisation)
        homes = self._find_homes(organisation)
        # The standby is asked only if the homes did not answer.
        lost = homes.homes if homes.own_role is HomeRole.STANDBY else ()
        if requester.is_charged:
            return await self._own_pool.acquire(
                term, deadline, requester, lane, priority
            )
        charge = self._meters.start(self._service, organisation, deadline, lost)
        try:
            if self._meters.is_at_limit(organisation):
                await charge.wait()  # what is refused takes no connection
            link = await self._own_pool.acquire(
                term, deadline, requester, lane, priority
            )
        except BaseException:
            charge.take_back()
            raise
        await self._finish_charge(charge, self._own_pool, link)
        return link

    async def _finish_charge(
        self, charge: OperationCharge, pool: ConnectionPool | RelayPool, link: Link
    ) -> None:
        """Wait for a charge; return the connection unused if it is refused."""
        try:
            await charge.finish()
        except BaseException:
            charge.take_back()
            pool.release(link)
            raise

    async def _acquire_elsewhere(
        self,
        home: Holder | None,
        error: CodedError,
        term: int,
        deadline: timedelta,
        requester: Requester,
        lane: Lane,
        priority: int,
    ) -> Link:
        """Check out at a holder that may reach the database, unlike the home.

        Own connections are tried first if this instance holds any, then one holder that
        is not known to be silent. Only if all of them can't reach the database either
        is it believed to be down. The operation is charged only after the
        connection was checked out, so that attempts at a database that is down use up
        no rate.
        """
        organisation = requester.organisation
        now = self._clock.now()
        failed_at = self._elsewhere_failed_at
        has_failed = failed_at is not None and now - failed_at < ELSEWHERE_PAUSE
        if now >= deadline or has_failed:
            raise error
        lenders = self._lenders(home)
        if not lenders:
            raise error
        for lender in lenders:
            pool = self._own_pool if lender is None else self._relay_pool
            try:
                if lender is None:
                    link = await self._own_pool.acquire(
                        term, deadline, requester, lane, priority
                    )
                else:
                    link = await self._check_out_watched(
                        lender, deadline, requester, lane, priority, is_charged=True
                    )
                break
            except CodedError as refusal:
                if refusal.code is not ResultCode.ENDPOINT_UNREACHABLE:
                    raise error from refusal
        else:
            self._elsewhere_failed_at = self._clock.now()
            raise error
        if not requester.is_charged:
            try:
                charge = self._meters.start(self._service, organisation, deadline)
            except BaseException:
                pool.release(link)
                raise
            await self._finish_charge(charge, pool, link)
        self._log.decision(
            "lent elsewhere",
            organisation=organisation,
            database=self._database_id,
            home="own" if home is None else home.name,
            lender="own" if lender is None else lender.name,
            detail=error.detail,
        )
        return link

    def _lenders(self, home: Holder | None) -> list[Holder | None]:
        """Return whom to ask in a home's place; None stands for own connections."""
        own: list[Holder | None] = []
        if home is not None and self._is_holder():
            own.append(None)
        others = [
            holder
            for holder in self._other_holders()
            if holder is not home and not holder.watch.is_silent()
        ]
        now = self._clock.now()
        chosen = choose_holder(others, self._availability_zone, now, self._rng)
        return own if chosen is None else [*own, chosen]

    def _record_use(
        self, organisation: str, target: Holder | None, is_home: bool
    ) -> None:
        """Log when an organisation's requests change between home and standby."""
        if is_home == (organisation not in self._on_standby):
            return
        if is_home:
            self._on_standby.discard(organisation)
        else:
            self._on_standby.add(organisation)
        self._log.decision(
            "home used again" if is_home else "standby used",
            organisation=organisation,
            service=self._service,
            database=self._database_id,
            holder="own" if target is None else target.name,
        )


def _is_home(target: Holder | None, homes: HomeHolders) -> bool:
    """Return whether a target is a home; None stands for this instance."""
    if target is None:
        return homes.own_role is HomeRole.HOME
    return target in homes.homes

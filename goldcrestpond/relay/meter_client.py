"""Charges operations at the instances that meter organisations."""

import random
from collections.abc import Callable, Collection
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..serving.home_admission import HomeAdmission
from ..serving.home_role import HomeRole
from ..tasks.supervised_tasks import SupervisedTasks
from . import messages
from .channel import Channel
from .holder import Holder
from .home_holders import HomeHolders
from .local_charge import LocalCharge
from .operation_charge import OperationCharge
from .order_homes import order_homes
from .relay_pool import RETRY_AFTER_MS
from .remote_charge import RemoteCharge

# An organisation that was refused within this time may still be at its limit: it gets a
# connection only after the charge.
AT_LIMIT_SPAN = timedelta(seconds=1)
# Errors of one meter after which the next one is asked; nothing was charged, or it is
# unknown whether it was, which costs the organisation one operation.
_NEXT_METER_CODES = frozenset(
    {
        ResultCode.IDENTITY_UNPROVEN,
        ResultCode.PEER_HOLDS_NOTHING,
        ResultCode.PEER_MALFORMED,
        ResultCode.PEER_UNREACHABLE,
    }
)


class MeterClient:
    """Charges operations here or at another instance, whichever meters them.

    Parameters
    ----------
    find_meters : callable
        Returns the instances that meter an organisation.
    admission : HomeAdmission
        Charges operations of the organisations that this instance meters.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses between meters.
    tasks : SupervisedTasks
        Runs the requests to other instances.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_find_meters",
        "_refused_at",
        "_rng",
        "_tasks",
    )

    def __init__(
        self,
        find_meters: Callable[[str], HomeHolders],
        admission: HomeAdmission,
        clock: Clock,
        rng: random.Random,
        tasks: SupervisedTasks,
    ):
        self._find_meters = find_meters
        self._admission = admission
        self._clock = clock
        self._rng = rng
        self._tasks = tasks
        # When the organisations that were lately refused last were, in that order.
        self._refused_at: dict[str, timedelta] = {}

    def is_at_limit(self, organisation: str) -> bool:
        """Return whether an organisation was refused a moment ago."""
        refused_at = self._refused_at.get(organisation)
        return refused_at is not None and self._clock.now() - refused_at < AT_LIMIT_SPAN

    def start(
        self,
        service: str,
        organisation: str,
        deadline: timedelta,
        lost: Collection[Holder] = (),
    ) -> OperationCharge:
        """Start to charge one operation.

        Parameters
        ----------
        service, organisation : str
            Service that the operation is for, and whose it is.
        deadline : timedelta
            Time at which the operation times out.
        lost : collection of Holder
            Instances that did not answer whoever sent the operation here; they are
            asked last.

        Raises
        ------
        CodedError
            RATE_EXCEEDED or IDENTITY_UNPROVEN if this instance meters it and refuses.
        """
        meters = self._find_meters(organisation)
        if meters.own_role is HomeRole.HOME:
            return LocalCharge(self._admission, self._admission.charge(organisation))
        self._admission.require_known(organisation)
        if not self._admission.is_limited(organisation):
            return LocalCharge(self._admission, None)
        request = messages.Charge(service, organisation)
        return RemoteCharge(
            lambda: self._charge_at_any(meters, request, deadline, lost), self._tasks
        )

    async def _charge_at_any(
        self,
        meters: HomeHolders,
        request: messages.Charge,
        deadline: timedelta,
        lost: Collection[Holder],
    ) -> tuple[Holder, Channel] | None:
        """Charge at the first meter that can; None if that is this one, as standby."""
        organisation = request.organisation
        is_standby = meters.own_role is HomeRole.STANDBY
        standbys = [None] if is_standby else [meters.standby] if meters.standby else []
        exceeded: CodedError | None = None
        failures = []

        def is_usable(target: Holder | None) -> bool:
            return target not in lost and self._is_usable(target)

        for target in order_homes(meters.homes, standbys, is_usable, self._rng):
            is_reserve = target is None or target is meters.standby
            if exceeded is not None and is_reserve:
                continue  # the reserve is for lost meters
            try:
                if target is None:
                    self._admission.charge(organisation)
                    return None
                return target, await self._request(target, request, deadline)
            except CodedError as error:
                if error.code is ResultCode.RATE_EXCEEDED:
                    exceeded = exceeded or error
                elif error.code not in _NEXT_METER_CODES:
                    raise
                failures.append(f"{target.name if target else 'own'}: {error}")
        if exceeded is not None:
            self._record_refusal(organisation)
            raise exceeded
        detail = f"no meter of {organisation!r} charges: {failures}"
        raise CodedError(ResultCode.HOME_UNREACHABLE, detail, RETRY_AFTER_MS)

    def _is_usable(self, holder: Holder | None) -> bool:
        if holder is None:
            return True
        is_avoided = holder.health.is_avoided(self._clock.now())
        return not (is_avoided or holder.watch.is_silent())

    async def _request(
        self, holder: Holder, request: messages.Charge, deadline: timedelta
    ) -> Channel:
        """Return the channel over which another instance has charged an operation."""
        wait = max(timedelta(0), deadline - self._clock.now())
        channel = await holder.acquire_channel()
        try:
            response = await holder.send_watched(channel, request, wait)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await holder.release_channel(channel)
            raise
        if isinstance(response, messages.Done):
            return channel
        await holder.release_channel(channel)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        detail = f"unexpected response {type(response).__name__}"
        raise CodedError(ResultCode.PEER_MALFORMED, detail)

    def _record_refusal(self, organisation: str) -> None:
        now = self._clock.now()
        self._refused_at.pop(organisation, None)
        self._refused_at[organisation] = now
        oldest = next(iter(self._refused_at))
        if now - self._refused_at[oldest] >= AT_LIMIT_SPAN:
            del self._refused_at[oldest]

"""Decides whether this instance serves an organisation, and charges its rate."""

from collections.abc import Callable, Sequence
from typing import Any

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..rates.handover import Handover
from .home_role import HomeRole
from .home_table import HomeTable
from .rate_charger import RateCharger


class HomeAdmission:
    """Admits operations of organisations at this instance.

    Parameters
    ----------
    homes : HomeTable
        The homes of all organisations.
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    meter : RateCharger or None
        Counts operations; None if no rate is limited.
    is_proven : callable
        Returns whether configuration and members' table are proven to be fresh.
    on_standby_use : callable
        Called with service and organisation when this instance lends as standby.
    on_reserve_use : callable
        Called with the organisation when this instance meters it as standby.
    """

    __slots__ = (
        "_clock",
        "_homes",
        "is_proven",
        "meter",
        "on_reserve_use",
        "on_standby_use",
    )

    def __init__(self, homes: HomeTable, clock: Clock):
        self._homes = homes
        self._clock = clock
        self.meter: RateCharger | None = None
        self.is_proven: Callable[[], bool] = lambda: True
        self.on_standby_use: Callable[[str, str], None] = lambda *names: None
        self.on_reserve_use: Callable[[str], None] = lambda name: None

    def require_known(self, organisation: str) -> None:
        """Check that the configuration in force, proven to be fresh, has it.

        Raises
        ------
        CodedError
            IDENTITY_UNPROVEN if it may be too old, PEER_HOLDS_NOTHING if the
            configuration lacks the organisation; nothing was run.
        """
        if not self.is_proven():
            detail = "configuration or members' table may be too old"
            raise CodedError(ResultCode.IDENTITY_UNPROVEN, detail)
        if organisation not in (self._homes.organisations or ()):
            detail = f"no organisation {organisation!r} in the configuration here"
            raise CodedError(ResultCode.PEER_HOLDS_NOTHING, detail)

    def require_home(self, service: str, organisation: str) -> None:
        """Check that this instance is home or standby of an organisation at a service.

        Raises
        ------
        CodedError
            As for `require_known`; PEER_HOLDS_NOTHING if it is neither.
        """
        self.require_known(organisation)
        role = self._homes.role(service, organisation)
        if role is HomeRole.NONE:
            detail = f"this instance does not serve {organisation!r} at {service}"
            raise CodedError(ResultCode.PEER_HOLDS_NOTHING, detail)
        if role is HomeRole.STANDBY:
            self.on_standby_use(service, organisation)

    def charge(self, organisation: str) -> Any:
        """Charge one operation as the meter of an organisation, or as its standby.

        Returns
        -------
        Charge or None
            What `refund` takes back.

        Raises
        ------
        CodedError
            As for `require_known`; PEER_HOLDS_NOTHING if this instance is neither meter
            nor standby; RATE_EXCEEDED; IDENTITY_UNPROVEN also if its share has not
            begun. Nothing is charged then.
        """
        self.require_known(organisation)
        role = self._homes.meter_role(organisation)
        if role is HomeRole.NONE:
            detail = f"this instance does not meter {organisation!r}"
            raise CodedError(ResultCode.PEER_HOLDS_NOTHING, detail)
        is_standby = role is HomeRole.STANDBY
        if is_standby:
            self.on_reserve_use(organisation)
        if self.meter is None:
            return None
        return self.meter.charge(organisation, is_standby, self._clock.now())

    def is_limited(self, organisation: str) -> bool:
        """Return whether the operations of an organisation are counted."""
        known = (self._homes.organisations or {}).get(organisation)
        return self.meter is not None and known is not None and known.is_limited

    def refund(self, charge: Any) -> None:
        """Take back the charge of an operation that certainly did not run."""
        if self.meter is not None and charge is not None:
            self.meter.refund(charge, self._clock.now())

    def observe(self) -> None:
        """Let the meter note the time that has passed."""
        if self.meter is not None:
            self.meter.observe(self._clock.now())

    def accept(self, handovers: Sequence[Handover]) -> None:
        """Take over what former homes have left of the main shares."""
        if self.meter is not None:
            self.meter.accept(handovers, self._clock.now())

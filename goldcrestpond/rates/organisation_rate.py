"""The rate of one organisation, as far as this instance may spend it."""

import math
from datetime import timedelta

from ..serving.organisation import Organisation
from .handover import TableVersion
from .never import NEVER
from .rate_bound import RateBound
from .rate_pot import RatePot
from .rate_role import RateRole
from .refusal_count import RefusalCount

# The reserve of a window, beyond what the limit allows, is divided. One part makes the
# main share's burst larger, so that operations that were sent within the limit are not
# refused because they arrive closer together. The rest is for the standby; of it, a
# part can be run at once, and the rest accrues over the window.
MAIN_RESERVE_FRACTION = 0.25
STANDBY_BURST_FRACTION = 0.25
# Callers that were refused are told different times to come back, up to this one.
RETRY_AFTER_LIMIT = timedelta(seconds=5)


class OrganisationRate:
    """Main share and reserve of one organisation, and what was refused.

    Attributes
    ----------
    main : RatePot
        What homes may spend.
    reserve : RatePot
        What the standby may spend.
    is_limited : bool
        Whether the organisation has a limit.
    refusals : RefusalCount
        What was refused, for log lines.
    """

    __slots__ = (
        "_lower",
        "_lower_due_at",
        "_organisation",
        "_promised_at",
        "is_limited",
        "main",
        "refusals",
        "reserve",
    )

    def __init__(self) -> None:
        self.main = RatePot()
        self.reserve = RatePot()
        self.is_limited = False
        self.refusals = RefusalCount()
        self._organisation: Organisation | None = None
        # A lower limit that is not in force yet.
        self._lower: Organisation | None = None
        self._lower_due_at = NEVER
        self._promised_at = NEVER

    @property
    def pots(self) -> tuple[RatePot, RatePot]:
        """The main share and the reserve, in the order in which they are spent."""
        return self.main, self.reserve

    @property
    def is_settled(self) -> bool:
        """Whether the shares no longer depend on the time."""
        return self.main.history.is_settled and self.reserve.history.is_settled

    def set_limit(
        self,
        organisation: Organisation,
        bound: RateBound,
        now: timedelta,
        lowering_delay: timedelta = timedelta(0),
    ) -> None:
        """Apply the organisation's limit; a lower one after a delay.

        Of several lower ones that come one after the other, the last is applied after
        the delay of the first.
        """
        former = self._organisation
        if organisation == former:
            self._lower = None
            return
        if former is not None and _is_lower(organisation, former) and lowering_delay:
            if self._lower is None:
                self._lower_due_at = now + lowering_delay
            self._lower = organisation
            return
        self._apply_limit(organisation, bound, now)

    def apply_lower_limit(self, bound: RateBound, now: timedelta) -> None:
        """Apply a lower limit whose delay is over."""
        if self._lower is not None and now >= self._lower_due_at:
            self._apply_limit(self._lower, bound, now)

    def _apply_limit(
        self, organisation: Organisation, bound: RateBound, now: timedelta
    ) -> None:
        self._lower = None
        self._organisation = organisation
        rate, burst = organisation.rate_per_s, organisation.burst
        self.is_limited = math.isfinite(rate) and math.isfinite(burst)
        if not self.is_limited:
            return
        reserve = bound.reserve_count(rate, burst)
        main_reserve = reserve * MAIN_RESERVE_FRACTION
        self.main.set_limits(rate, burst + main_reserve, now)
        standby_burst = (reserve - main_reserve) * STANDBY_BURST_FRACTION
        accrued = reserve - main_reserve - standby_burst
        window_s = bound.window.total_seconds()
        standby_rate = accrued / window_s if window_s else 0
        self.reserve.set_limits(standby_rate, standby_burst, now)

    def set_role(
        self,
        role: RateRole,
        after: timedelta,
        now: timedelta,
        version: TableVersion | None,
    ) -> None:
        """Record the shares by a new state of the members' table."""
        self.main.history.record(role.main_share, after, now, version)
        self.reserve.history.record(role.standby_share, after, now, version)

    def settle(self, earliest: timedelta, latest: timedelta, now: timedelta) -> None:
        """Apply the shares that the table gave between two times."""
        self.main.settle(earliest, latest, now)
        self.reserve.settle(earliest, latest, now)

    def restart(self, now: timedelta) -> None:
        """Begin both shares anew."""
        self.main.stop(now)
        self.reserve.stop(now)

    def promise(self, begins_at: timedelta, now: timedelta) -> timedelta:
        """Return the delay after which a refused operation finds a token.

        Each call returns a later time, by the spacing of the tokens, so that those
        that were refused don't return together.

        Parameters
        ----------
        begins_at : timedelta
            When a share begins that has not begun.
        now : timedelta
            Current time.
        """
        pot = self.reserve if self.reserve.share and not self.main.share else self.main
        spacing = pot.spacing(RETRY_AFTER_LIMIT)
        wait = pot.wait(now)
        at = now + wait if wait is not None else max(begins_at, now) + spacing
        at = max(at, self._promised_at + spacing)
        self._promised_at = min(at, now + RETRY_AFTER_LIMIT)
        return self._promised_at - now


def _is_lower(organisation: Organisation, former: Organisation) -> bool:
    return (
        organisation.rate_per_s < former.rate_per_s or organisation.burst < former.burst
    )

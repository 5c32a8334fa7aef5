"""Port to the meter of the organisations' rates."""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import Any, Protocol

from ..rates.handover import Handover, TableVersion
from ..rates.rate_role import RateRole
from .organisation import Organisation


class RateCharger(Protocol):
    """Counts operations of organisations against the parts that this instance spends.

    Implemented by ``RateMeter``.
    """

    def gauges(self) -> Mapping[str, float]:
        """Return values for the metrics."""

    def set_limits(
        self, organisations: Mapping[str, Organisation], now: timedelta
    ) -> None:
        """Apply the rates of a configuration."""

    def set_roles(
        self,
        roles: Mapping[str, RateRole],
        now: timedelta,
        version: TableVersion | None = None,
        is_resumed: bool = False,
    ) -> None:
        """Apply the parts by a state of the members' table.

        If ``is_resumed``, an earlier run of this process had them, and they begin at
        once, empty; counts in the first call only.
        """

    def observe(self, now: timedelta) -> None:
        """Note the time that has passed; called several times a second."""

    def charge(self, organisation: str, is_standby: bool, now: timedelta) -> Any:
        """Charge one operation and return the charge.

        Raises
        ------
        CodedError
            RATE_EXCEEDED or IDENTITY_UNPROVEN; nothing is charged then.
        """

    def refund(self, charge: Any, now: timedelta) -> None:
        """Take back a charge for an operation that certainly did not run."""

    def release(
        self, organisations: Collection[str], now: timedelta
    ) -> Sequence[Handover]:
        """Stop spending main shares that are no longer a role; return what is left."""

    def accept(self, handovers: Sequence[Handover], now: timedelta) -> None:
        """Take over what former homes have left."""

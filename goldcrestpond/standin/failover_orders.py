"""Failover calls to the platform: fencing, late execution and delayed effect."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock.clock import Clock

OK_STATUS = 200
REFUSED_STATUS = 409


@dataclass(slots=True)
class FailoverOrder:
    """A call that names the database to be promoted.

    Attributes
    ----------
    service, database_id : str
        Service and the database that is to lead it.
    holder : str
        Name of the instance that called.
    token : int
        Its fencing token.
    called_at : timedelta
        Monotonic time of the call.
    executed_at : timedelta or None
        Time at which the token was checked; None before.
    status : int
        Status with which the call was answered, or would have been; 0 before.
    """

    service: str
    database_id: str
    holder: str
    token: int
    called_at: timedelta
    executed_at: timedelta | None = None
    status: int = 0


class FailoverOrders:
    """Executes failover calls.

    Attributes
    ----------
    orders : list of FailoverOrder
        All calls, in order.
    promote : callable
        Called with an order when its promotion takes effect.
    is_running, is_primary : callable
        Called with service and database; whether the database runs, or leads.
    draw_effect_delay_s : callable
        Returns the time from the execution of an order to its effect.
    draw_execution_delay_s : callable
        Returns the time from a call to its execution. Unless it is 0, the call is
        not answered.
    """

    def __init__(self, clock: Clock):
        self.orders: list[FailoverOrder] = []
        self.promote: Callable[[FailoverOrder], object] = lambda order: None
        self.is_running: Callable[[str, str], bool] = lambda service, database: True
        self.is_primary: Callable[[str, str], bool] = lambda service, database: False
        self.draw_effect_delay_s: Callable[[], float] = lambda: 0.0
        self.draw_execution_delay_s: Callable[[], float] = lambda: 0.0
        self._clock = clock
        self._highest_tokens: dict[str, int] = {}

    def call(self, service: str, database_id: str, holder: str, token: int) -> int:
        """Take a call; return the status of its answer, 0 if it gets none."""
        now = self._clock.now()
        order = FailoverOrder(service, database_id, holder, token, now)
        self.orders.append(order)
        delay_s = self.draw_execution_delay_s()
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._execute, order)
        else:
            self._execute(order)
        return order.status

    def _execute(self, order: FailoverOrder) -> None:
        order.executed_at = self._clock.now()
        order.status = self._check(order)
        if order.status == REFUSED_STATUS:
            return
        if self.is_primary(order.service, order.database_id):
            return
        delay_s = self.draw_effect_delay_s()
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self.promote, order)
        else:
            self.promote(order)

    def _check(self, order: FailoverOrder) -> int:
        if order.token < self._highest_tokens.get(order.service, 0):
            return REFUSED_STATUS
        self._highest_tokens[order.service] = order.token
        if not self.is_running(order.service, order.database_id):
            return REFUSED_STATUS
        return OK_STATUS

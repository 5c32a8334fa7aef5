"""Queues of the requests that wait for a slot of one database."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from datetime import timedelta

from ..errors.result_code import ResultCode
from .lane import Lane
from .lane_slots import LaneSlots
from .priority_queue import PriorityQueue
from .refuse_request import RefuseRequest
from .service_estimate import ServiceEstimate
from .slot_request import SlotRequest

# Few requests take longer than this multiple of the mean.
_SERVICE_TIME_FACTOR = 2
# The time reserved for running a request is at most its remaining time divided by
# this, so that requests that always take long may still wait for most of that time.
_RESERVED_TIME_DIVISOR = 4
_MILLISECOND = timedelta(milliseconds=1)
_NO_TIME = timedelta(0)
# Most requests need no opening, and the others take as long as a statement.
_OPENING_COST_SMOOTHING_FACTOR = 1 / 64


class LaneQueues:
    """Admits, queues and refuses requests by lane, independent of connections.

    Parameters
    ----------
    slots : LaneSlots
        The slots that the lanes share.
    """

    __slots__ = ("_estimates", "_opening_cost", "_queues", "_slots")

    def __init__(self, slots: LaneSlots):
        self._slots = slots
        self._queues = {lane: PriorityQueue() for lane in Lane}
        self._estimates = {lane: ServiceEstimate() for lane in Lane}
        self._opening_cost = ServiceEstimate(_NO_TIME, _OPENING_COST_SMOOTHING_FACTOR)

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    @property
    def service_time(self) -> timedelta:
        """Mean time for which a request occupies a slot, over all lanes."""
        means = [estimate.mean for estimate in self._estimates.values()]
        return sum(means, timedelta(0)) / len(means)

    def waiting_count(self, lane: Lane) -> int:
        """Return the number of requests that wait in a lane."""
        return len(self._queues[lane])

    def count_waiting(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation in all lanes."""
        queues = self._queues.values()
        return sum(queue.count_waiting(organisation) for queue in queues)

    def mean_service_time(self, lane: Lane) -> timedelta:
        """Return the mean time for which a request of a lane occupies a slot."""
        return self._estimates[lane].mean

    def submit(
        self, request: SlotRequest, now: timedelta, opening_time: timedelta = _NO_TIME
    ) -> RefuseRequest | None:
        """Queue a request, or refuse it if it is not expected to start in time.

        Parameters
        ----------
        request : SlotRequest
            The request.
        now : timedelta
            Monotonic time.
        opening_time : timedelta, optional
            Time that it takes to open a connection for it; 0 if there is one.
        """
        ahead_count = self._queues[request.lane].estimate_ahead(
            request.requester, request.priority
        )
        wait = self.estimate_wait(request.lane, ahead_count)
        if opening_time:
            wait += opening_time
        start_by = self._compute_latest_start(request, now)
        if now + wait > start_by:
            return self.refuse(request, ResultCode.OVERLOADED, wait)
        self._queues[request.lane].push(replace(request, deadline=start_by))
        return None

    def refuse_displaced(self, lane: Lane, now: timedelta) -> list[RefuseRequest]:
        """Refuse the request at the end of a lane if a newer one has made it late.

        The one at the end is of the lowest priority and, within that, of the
        organisation that is furthest over its part. It is told at once, rather than
        when `refuse_late` finds it.
        """
        queue = self._queues[lane]
        if len(queue) < 2:
            return []
        last = queue.last()
        wait = self.estimate_wait(lane, len(queue) - 1)
        if now + wait < last.deadline:
            return []
        queue.remove(last.request_id)
        return [self.refuse(last, ResultCode.OVERLOADED, wait)]

    def _compute_latest_start(self, request: SlotRequest, now: timedelta) -> timedelta:
        """Return the time by which a request must start to be answered in time."""
        time_left = request.deadline - now
        service_time = self._estimates[request.lane].mean * _SERVICE_TIME_FACTOR
        return request.deadline - min(service_time, time_left / _RESERVED_TIME_DIVISOR)

    def estimate_wait(self, lane: Lane, ahead_count: int) -> timedelta:
        """Return how long a request waits behind ``ahead_count`` others of its lane."""
        running_count = self._slots.running(lane)
        capacity = max(1, self._slots.capacity(lane))
        turn_count = max(0, ahead_count + running_count + 1 - capacity)
        turn_time = self._estimates[lane].mean
        if self._opening_cost.mean:
            turn_time += self._opening_cost.mean
        return turn_time * turn_count / capacity

    def record_opening_cost(self, duration: timedelta) -> None:
        """Record for how long a slot was occupied to get a request its connection."""
        self._opening_cost.add(duration)

    def candidates(self) -> Iterator[SlotRequest]:
        """Yield the next requests of the organisations that have a slot, in order.

        The queues and slots are not to be changed while they are yielded.
        """
        for lane in self._offer_order():
            queue = self._queues[lane]
            if len(queue) and self._slots.admits(lane):
                yield from queue.candidates()

    def waiting_order(self) -> list[str]:
        """Return the organisations that wait, in the order in which they are next."""
        order: dict[str, None] = {}
        for lane in self._offer_order():
            for request in self._queues[lane].candidates():
                order.setdefault(request.requester.organisation)
        return list(order)

    def start(self, request: SlotRequest) -> None:
        """Remove a request that ``candidates`` has yielded; occupy a slot for it."""
        self._queues[request.lane].pop_candidate(request)
        self._slots.start(request.lane)

    def put_back(self, request: SlotRequest) -> None:
        """Put a request that was started and has not run before the others again."""
        self._queues[request.lane].put_back(request)

    def refuse(
        self, request: SlotRequest, code: ResultCode, wait: timedelta
    ) -> RefuseRequest:
        """Return the refusal of a request that no longer waits in a queue."""
        min_wait = self._estimates[request.lane].mean
        retry_after_ms = -(-max(wait, min_wait) // _MILLISECOND)
        return RefuseRequest(request.request_id, code, max(1, retry_after_ms))

    def next_request(self) -> SlotRequest | None:
        """Remove the next request, occupy a slot for it and return it.

        None if no waiting request may start.
        """
        lane = self._next_lane()
        if lane is None:
            return None
        self._slots.start(lane)
        return self._queues[lane].pop()

    def has_next(self) -> bool:
        """Return whether a waiting request may start."""
        return self._next_lane() is not None

    def startable_count(self) -> int:
        """Return how many waiting requests have a free slot, connections aside."""
        if not len(self):
            return 0
        running_count = sum(self._slots.running(lane) for lane in Lane)
        free_count = max(0, self._slots.total - running_count)
        startable_count = 0
        for lane, queue in self._queues.items():
            room = max(0, self._slots.capacity(lane) - self._slots.running(lane))
            startable_count += min(len(queue), room)
        return min(startable_count, free_count)

    def finish(self, lane: Lane, duration: timedelta) -> None:
        """Free the slot of a request that occupied it for ``duration``."""
        self._slots.finish(lane)
        self._estimates[lane].add(duration)

    def remove(self, request_id: int) -> SlotRequest | None:
        """Remove and return a waiting request, or return None if there is none."""
        for queue in self._queues.values():
            request = queue.remove(request_id)
            if request is not None:
                return request
        return None

    def refuse_late(
        self,
        now: timedelta,
        get_opening_time: Callable[[str], timedelta] | None = None,
    ) -> list[RefuseRequest]:
        """Remove and refuse the requests that cannot start before their deadline.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        get_opening_time : callable, optional
            Returns for an organisation how long it takes to open the connection that
            its next request needs.
        """
        refusals = []
        for lane, queue in self._queues.items():
            kept_count = 0
            for request in list(queue.in_order()):
                wait = self.estimate_wait(lane, kept_count)
                if get_opening_time is not None:
                    wait += get_opening_time(request.requester.organisation)
                if now + wait < request.deadline:
                    kept_count += 1
                    continue
                queue.remove(request.request_id)
                is_late = now >= request.deadline
                code = ResultCode.QUEUE_DEADLINE if is_late else ResultCode.OVERLOADED
                refusals.append(self.refuse(request, code, wait))
        return refusals

    def refuse_all(
        self, code: ResultCode, retry_after: timedelta, kept_count: int = 0
    ) -> list[RefuseRequest]:
        """Remove and refuse every waiting request, but the first ``kept_count``."""
        waiting = [r for queue in self._queues.values() for r in queue.in_order()]
        del waiting[:kept_count]
        for request in waiting:
            self.remove(request.request_id)
        return [self.refuse(r, code, retry_after) for r in waiting]

    def refuse_organisation(
        self, organisation: str, code: ResultCode, retry_after: timedelta
    ) -> list[RefuseRequest]:
        """Remove and refuse every waiting request of one organisation."""
        waiting = [
            request
            for queue in self._queues.values()
            for request in queue.in_order()
            if request.requester.organisation == organisation
        ]
        for request in waiting:
            self.remove(request.request_id)
        return [self.refuse(r, code, retry_after) for r in waiting]

    def _offer_order(self) -> tuple[Lane, ...]:
        others_wait = len(self._queues[Lane.AGED]) + len(self._queues[Lane.REPORT])
        return self._slots.offer_order(others_wait > 0)

    def _next_lane(self) -> Lane | None:
        for lane in self._offer_order():
            if len(self._queues[lane]) and self._slots.admits(lane):
                return lane
        return None

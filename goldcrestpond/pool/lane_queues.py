"""Waiting requests and slots of one database on this instance."""

from dataclasses import replace
from datetime import timedelta

from ..errors.result_code import ResultCode
from .lane import Lane
from .lane_slots import LaneSlots
from .priority_queue import PriorityQueue
from .refuse_request import RefuseRequest
from .service_estimate import ServiceEstimate
from .slot_request import SlotRequest

# Few requests take longer than so many times the mean.
_SERVICE_MARGIN = 2
# Requests that take long by nature may still wait for most of their allowance.
_RESERVED_PART = 4
_MILLISECOND = timedelta(milliseconds=1)


class LaneQueues:
    """Admits, queues and sheds requests; knows nothing of connections.

    Parameters
    ----------
    slots : LaneSlots
        The slots that the lanes share.
    """

    __slots__ = ("_estimates", "_queues", "_slots")

    def __init__(self, slots: LaneSlots):
        self._slots = slots
        self._queues = {lane: PriorityQueue() for lane in Lane}
        self._estimates = {lane: ServiceEstimate() for lane in Lane}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    @property
    def service_time(self) -> timedelta:
        """Usual time for which a request holds its slot, over all lanes."""
        means = [estimate.mean for estimate in self._estimates.values()]
        return sum(means, timedelta(0)) / len(means)

    def waiting_count(self, lane: Lane) -> int:
        """Return how many requests of a lane wait."""
        return len(self._queues[lane])

    def submit(self, request: SlotRequest, now: timedelta) -> RefuseRequest | None:
        """Queue a request, or refuse it if its turn would come too late."""
        ahead = self._queues[request.lane].count_ahead(request.caller, request.priority)
        wait = self.estimate_wait(request.lane, ahead)
        start_by = self._latest_start(request, now)
        if now + wait > start_by:
            return self._refusal(request, ResultCode.OVERLOADED, wait)
        self._queues[request.lane].push(replace(request, deadline=start_by))
        return None

    def _latest_start(self, request: SlotRequest, now: timedelta) -> timedelta:
        """Return when a request must have its slot to be answered in time."""
        allowance = request.deadline - now
        service = self._estimates[request.lane].mean * _SERVICE_MARGIN
        return request.deadline - min(service, allowance / _RESERVED_PART)

    def estimate_wait(self, lane: Lane, ahead: int) -> timedelta:
        """Return how long a request waits with ``ahead`` others before it."""
        busy = self._slots.running(lane)
        capacity = max(1, self._slots.capacity(lane))
        turns = max(0, ahead + busy + 1 - capacity)
        return self._estimates[lane].mean * turns / capacity

    def next_request(self) -> SlotRequest | None:
        """Remove and return the request whose turn it is, if a slot is free."""
        lane = self._next_lane()
        if lane is None:
            return None
        self._slots.start(lane)
        return self._queues[lane].pop()

    def has_next(self) -> bool:
        """Tell whether a waiting request could start."""
        return self._next_lane() is not None

    def startable_count(self) -> int:
        """Return how many waiting requests could start if connections were free."""
        if not len(self):
            return 0
        running = sum(self._slots.running(lane) for lane in Lane)
        free = max(0, self._slots.total - running)
        wanted = 0
        for lane, queue in self._queues.items():
            room = max(0, self._slots.capacity(lane) - self._slots.running(lane))
            wanted += min(len(queue), room)
        return min(wanted, free)

    def finish(self, lane: Lane, duration: timedelta) -> None:
        """Count the end of a request that held a slot for ``duration``."""
        self._slots.finish(lane)
        self._estimates[lane].add(duration)

    def remove(self, request_id: int) -> SlotRequest | None:
        """Remove a request that is no longer wanted."""
        for queue in self._queues.values():
            request = queue.remove(request_id)
            if request is not None:
                return request
        return None

    def refuse_late(self, now: timedelta) -> list[RefuseRequest]:
        """Remove and refuse what missed its deadline or is bound to miss it."""
        refusals = []
        for lane, queue in self._queues.items():
            kept = 0
            for request in list(queue.in_turn()):
                wait = self.estimate_wait(lane, kept)
                if now + wait < request.deadline:
                    kept += 1
                    continue
                queue.remove(request.request_id)
                late = now >= request.deadline
                code = ResultCode.QUEUE_DEADLINE if late else ResultCode.OVERLOADED
                refusals.append(self._refusal(request, code, wait))
        return refusals

    def refuse_all(
        self, code: ResultCode, retry_after: timedelta
    ) -> list[RefuseRequest]:
        """Remove and refuse every waiting request."""
        waiting = [r for queue in self._queues.values() for r in queue.in_turn()]
        for request in waiting:
            self.remove(request.request_id)
        return [self._refusal(r, code, retry_after) for r in waiting]

    def _next_lane(self) -> Lane | None:
        others_wait = len(self._queues[Lane.AGED]) + len(self._queues[Lane.REPORT])
        for lane in self._slots.offer_order(others_wait > 0):
            if len(self._queues[lane]) and self._slots.admits(lane):
                return lane
        return None

    def _refusal(
        self, request: SlotRequest, code: ResultCode, wait: timedelta
    ) -> RefuseRequest:
        least = self._estimates[request.lane].mean
        retry_after_ms = -(-max(wait, least) // _MILLISECOND)
        return RefuseRequest(request.request_id, code, max(1, retry_after_ms))

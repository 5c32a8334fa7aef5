"""Queue of sessions that wait for a sample of the primary's log position."""

from collections import OrderedDict
from datetime import timedelta

from .min_position_request import MinPositionRequest
from .verified_sample import VerifiedSample


class MinPositionQueue:
    """Requests of waiting sessions, in the order in which they were made.

    One sample settles all requests that were made before it was taken.
    """

    __slots__ = ("_requests",)

    def __init__(self):
        self._requests: OrderedDict[MinPositionRequest, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, now: timedelta) -> MinPositionRequest:
        """Enqueue a session; ``now`` must not decrease between calls."""
        request = MinPositionRequest(now)
        self._requests[request] = None
        return request

    def abandon(self, request: MinPositionRequest) -> None:
        """Remove a session that no longer waits."""
        self._requests.pop(request, None)

    def settle(self, sample: VerifiedSample | None) -> list[MinPositionRequest]:
        """Give the sample to all sessions that asked before it was taken.

        Equal times don't count as before: within one clock tick the poll may
        have been sent before the session asked.

        Returns
        -------
        list of MinPositionRequest
            Requests that now have a position.
        """
        settled: list[MinPositionRequest] = []
        if sample is None:
            return settled
        while self._requests:
            request = next(iter(self._requests))
            if request.asked_at >= sample.sampled_after:
                break
            del self._requests[request]
            request.min_position = sample.position
            settled.append(request)
        return settled

"""Sessions that wait for a sample of the primary's position."""

from collections import OrderedDict
from datetime import timedelta

from .min_position_request import MinPositionRequest
from .verified_sample import VerifiedSample


class MinPositionQueue:
    """Waiting sessions in order of time: one sample serves all before it."""

    __slots__ = ("_requests",)

    def __init__(self):
        self._requests: OrderedDict[MinPositionRequest, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, now: timedelta) -> MinPositionRequest:
        """Enqueue a session; ``now`` never decreases."""
        request = MinPositionRequest(now)
        self._requests[request] = None
        return request

    def abandon(self, request: MinPositionRequest) -> None:
        """Drop a session that no longer waits."""
        self._requests.pop(request, None)

    def settle(self, sample: VerifiedSample | None) -> list[MinPositionRequest]:
        """Give the sample to all that asked before it was taken.

        A poll sent within the same tick of the clock may have been sent first.
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

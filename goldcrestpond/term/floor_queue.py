"""Sessions that wait for a sample of the primary's position."""

from collections import deque
from datetime import timedelta

from .floor_request import FloorRequest
from .verified_sample import VerifiedSample


class FloorQueue:
    """Waiting sessions in order of time: one sample serves all before it."""

    __slots__ = ("_requests",)

    def __init__(self):
        self._requests: deque[FloorRequest] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, now: timedelta) -> FloorRequest:
        """Enqueue a session; ``now`` never decreases."""
        request = FloorRequest(now)
        self._requests.append(request)
        return request

    def settle(self, sample: VerifiedSample | None) -> list[FloorRequest]:
        """Give the sample to all that asked before it was taken.

        A poll sent within the same tick of the clock may have been sent first.
        """
        settled: list[FloorRequest] = []
        if sample is None:
            return settled
        while self._requests and self._requests[0].asked_at < sample.sampled_after:
            request = self._requests.popleft()
            request.floor = sample.position
            settled.append(request)
        return settled

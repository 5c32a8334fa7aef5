"""Queue of one organisation that is fair between its callers."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from .slot_request import SlotRequest


class RequestQueue:
    """Queue that serves callers round-robin, and each caller's requests in order."""

    __slots__ = ("_by_caller", "_size")

    def __init__(self) -> None:
        self._by_caller: OrderedDict[str, deque[SlotRequest]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, request: SlotRequest) -> None:
        """Append a request after the others of its caller."""
        self._by_caller.setdefault(request.requester.session, deque()).append(request)
        self._size += 1

    def put_back(self, request: SlotRequest) -> None:
        """Put a request that was popped before the others again."""
        caller = request.requester.session
        self._by_caller.setdefault(caller, deque()).appendleft(request)
        self._by_caller.move_to_end(caller, last=False)
        self._size += 1

    def peek(self) -> SlotRequest:
        """Return the next request.

        Raises
        ------
        StopIteration
            If the queue is empty.
        """
        return next(iter(self._by_caller.values()))[0]

    def last(self) -> SlotRequest:
        """Return the request that would be removed last.

        Raises
        ------
        ValueError
            If the queue is empty.
        """
        max_length = max(map(len, self._by_caller.values()))
        queues = reversed(self._by_caller.values())
        return next(q for q in queues if len(q) == max_length)[-1]

    def pop(self) -> SlotRequest:
        """Remove and return the next request.

        Raises
        ------
        KeyError
            If the queue is empty.
        """
        caller, requests = self._by_caller.popitem(last=False)
        request = requests.popleft()
        if requests:
            self._by_caller[caller] = requests
        self._size -= 1
        return request

    def remove(self, request_id: int) -> SlotRequest | None:
        """Remove and return a request, or return None if it is not in the queue."""
        for caller, requests in self._by_caller.items():
            for request in requests:
                if request.request_id != request_id:
                    continue
                requests.remove(request)
                if not requests:
                    del self._by_caller[caller]
                self._size -= 1
                return request
        return None

    def count_ahead(self, caller: str) -> int:
        """Count the requests that would be served before a new one of ``caller``."""
        own_count = len(self._by_caller.get(caller, ()))
        counts_ahead = (
            min(len(requests), own_count + 1)
            for key, requests in self._by_caller.items()
            if key != caller
        )
        return own_count + sum(counts_ahead)

    def in_order(self) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they would be removed."""
        queues = list(self._by_caller.values())
        max_length = max(map(len, queues), default=0)
        for index in range(max_length):
            for requests in queues:
                if index < len(requests):
                    yield requests[index]

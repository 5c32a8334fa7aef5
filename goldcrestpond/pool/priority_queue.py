"""Queue of one lane: by priority, and fair between callers of equal priority."""

from collections.abc import Iterator

from .request_queue import RequestQueue
from .slot_request import SlotRequest


class PriorityQueue:
    """Requests ordered by priority; the lowest number goes first.

    Within a priority the order is that of `RequestQueue`. The owner of the queue
    refuses requests that have waited too long: under lasting overload these are the
    requests with the highest numbers.
    """

    __slots__ = ("_by_priority",)

    def __init__(self) -> None:
        self._by_priority: dict[int, RequestQueue] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def push(self, request: SlotRequest) -> None:
        """Append a request after the others of its priority and caller."""
        queue = self._by_priority.get(request.priority)
        if queue is None:
            self._by_priority[request.priority] = queue = RequestQueue()
            self._by_priority = dict(sorted(self._by_priority.items()))
        queue.push(request)

    def pop(self) -> SlotRequest:
        """Remove and return the next request.

        Raises
        ------
        KeyError
            If the queue is empty.
        """
        for queue in self._by_priority.values():
            if len(queue):
                return queue.pop()
        raise KeyError("the queue is empty")

    def remove(self, request_id: int) -> SlotRequest | None:
        """Remove and return a request, or return None if it is not in the queue."""
        for queue in self._by_priority.values():
            request = queue.remove(request_id)
            if request is not None:
                return request
        return None

    def count_ahead(self, caller: str, priority: int) -> int:
        """Count the requests that would be served before a new one."""
        ahead_count = sum(len(q) for p, q in self._by_priority.items() if p < priority)
        queue = self._by_priority.get(priority)
        return ahead_count + (0 if queue is None else queue.count_ahead(caller))

    def in_order(self) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they would be removed."""
        for queue in self._by_priority.values():
            yield from queue.in_order()

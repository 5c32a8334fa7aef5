"""Queue of one lane: by priority, and fair between organisations of equal priority."""

from collections.abc import Iterator

from .fair_queue import FairQueue
from .requester import Requester
from .slot_request import SlotRequest


class PriorityQueue:
    """Requests ordered by priority; the lowest number goes first.

    Within a priority the order is that of `FairQueue`. The owner of the queue
    refuses requests that have waited too long: under lasting overload these are the
    requests with the highest numbers.
    """

    __slots__ = ("_by_priority", "_size")

    def __init__(self) -> None:
        self._by_priority: dict[int, FairQueue] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, request: SlotRequest) -> None:
        """Append a request after the others of its priority and caller."""
        self._queue(request.priority).push(request)
        self._size += 1

    def put_back(self, request: SlotRequest) -> None:
        """Put a request that was popped and did not run before the others again."""
        self._queue(request.priority).put_back(request)
        self._size += 1

    def candidates(self) -> Iterator[SlotRequest]:
        """Yield the next request of each organisation at each priority, in order.

        The queue is not to be changed while they are yielded.
        """
        for queue in self._by_priority.values():
            yield from queue.candidates()

    def pop(self) -> SlotRequest:
        """Remove and return the next request.

        Raises
        ------
        KeyError
            If the queue is empty.
        """
        for queue in self._by_priority.values():
            if len(queue):
                self._size -= 1
                return queue.pop()
        raise KeyError("the queue is empty")

    def pop_candidate(self, request: SlotRequest) -> None:
        """Remove a request that ``candidates`` has yielded."""
        self._by_priority[request.priority].pop_of(request.requester.organisation)
        self._size -= 1

    def remove(self, request_id: int) -> SlotRequest | None:
        """Remove and return a request, or return None if it is not in the queue."""
        for queue in self._by_priority.values():
            request = queue.remove(request_id)
            if request is not None:
                self._size -= 1
                return request
        return None

    def count_waiting(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        queues = self._by_priority.values()
        return sum(queue.count_waiting(organisation) for queue in queues)

    def last(self) -> SlotRequest | None:
        """Return the request that is served last, or None if the queue is empty."""
        for queue in reversed(self._by_priority.values()):
            if len(queue):
                return queue.last()
        return None

    def count_ahead(self, requester: Requester, priority: int) -> int:
        """Count the requests that would be served before a new one."""
        queue = self._by_priority.get(priority)
        own_count = 0 if queue is None else queue.count_ahead(requester)
        return self._count_urgent(priority) + own_count

    def estimate_ahead(self, requester: Requester, priority: int) -> int:
        """Count them with those expected to arrive later and to go ahead."""
        queue = self._by_priority.get(priority)
        own_count = 0 if queue is None else queue.estimate_ahead(requester)
        return self._count_urgent(priority) + own_count

    def in_order(self) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they would be removed."""
        for queue in self._by_priority.values():
            yield from queue.in_order()

    def _count_urgent(self, priority: int) -> int:
        return sum(len(q) for p, q in self._by_priority.items() if p < priority)

    def _queue(self, priority: int) -> FairQueue:
        queue = self._by_priority.get(priority)
        if queue is None:
            self._by_priority[priority] = queue = FairQueue()
            self._by_priority = dict(sorted(self._by_priority.items()))
        return queue

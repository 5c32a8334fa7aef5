"""Queue of one lane that is fair between callers."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from .slot_request import SlotRequest


class RequestQueue:
    """Round robin over callers; requests of one caller in order of arrival."""

    __slots__ = ("_by_caller", "_size")

    def __init__(self) -> None:
        self._by_caller: OrderedDict[str, deque[SlotRequest]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, request: SlotRequest) -> None:
        """Append a request behind the others of its caller."""
        self._by_caller.setdefault(request.caller, deque()).append(request)
        self._size += 1

    def pop(self) -> SlotRequest:
        """Remove and return the next request in turn.

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
        """Remove a request; returns None if it does not wait here."""
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
        """Count the requests that a new one of ``caller`` would wait for."""
        own = len(self._by_caller.get(caller, ()))
        others = (
            min(len(requests), own + 1)
            for key, requests in self._by_caller.items()
            if key != caller
        )
        return own + sum(others)

    def in_turn(self) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they would be popped."""
        rows = list(self._by_caller.values())
        longest = max(map(len, rows), default=0)
        for depth in range(longest):
            for requests in rows:
                if depth < len(requests):
                    yield requests[depth]

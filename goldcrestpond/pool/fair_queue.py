"""Queue of one priority: weighted fair queueing between organisations."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import ceil, floor

from .request_queue import RequestQueue
from .requester import Requester
from .slot_request import SlotRequest

# Virtual time that one request takes of an organisation with a weight of 1.
QUANTUM = 1.0
# Requests of a backlog after which what was served meanwhile counts half as much.
_MEASURED_COUNT = 64
# Until a backlog has been served about this often, others that went ahead count less.
_CAUTION_COUNT = 8
# A weight of zero or less would keep an organisation from ever being served.
_MIN_WEIGHT = 1e-3
# Virtual times that differ by less than this are equal but for rounding.
_ROUNDING = 1e-9


@dataclass(slots=True, eq=False)
class _Backlog:
    """Waiting requests of one organisation.

    Attributes
    ----------
    start : float
        Virtual time at which its next request starts.
    step : float
        Virtual time from the start of one of its requests to that of the next.
    since : float
        Number of requests that the queue had served when counting began.
    served_count : float
        Requests of this organisation served since then.
    requests : RequestQueue
        The requests, in order.
    """

    start: float
    step: float
    since: float = 0.0
    served_count: float = 0.0
    requests: RequestQueue = field(default_factory=RequestQueue)


class FairQueue:
    """Start-time fair queueing between organisations, round robin within each.

    Each organisation has a virtual start time, which a request advances by ``QUANTUM``
    divided by the organisation's weight; the earliest goes first. An organisation that
    begins to wait starts at the present virtual time: it neither saves up room that it
    has not used nor waits for others to use up theirs. When the queue is empty, what
    was served before is forgotten.
    """

    __slots__ = (
        "_backlogs",
        "_next_starts",
        "_served_count",
        "_size",
        "_virtual_time",
    )

    def __init__(self) -> None:
        self._backlogs: dict[str, _Backlog] = {}
        # Starts of organisations that do not wait, where later than the virtual time.
        self._next_starts: dict[str, float] = {}
        self._virtual_time = 0.0
        self._size = 0
        self._served_count = 0

    def __len__(self) -> int:
        return self._size

    def push(self, request: SlotRequest) -> None:
        """Append a request after the others of its session."""
        requester = request.requester
        backlog = self._backlogs.get(requester.organisation)
        if backlog is None:
            backlog = self._add_backlog(requester)
        backlog.step = _step(requester)
        backlog.requests.push(request)
        self._size += 1

    def put_back(self, request: SlotRequest) -> None:
        """Put a request that was popped and did not run before the others again."""
        requester = request.requester
        backlog = self._backlogs.get(requester.organisation)
        if backlog is None:
            backlog = self._add_backlog(requester)
            # Before those that start at the same time.
            self._backlogs = {requester.organisation: backlog, **self._backlogs}
        backlog.start -= backlog.step
        backlog.requests.put_back(request)
        self._size += 1

    def candidates(self) -> Iterator[SlotRequest]:
        """Yield the next request of each organisation, in the order of their starts.

        The queue is not to be changed while they are yielded.
        """
        first = self._next_organisation()
        if first is None:
            return
        yield self._backlogs[first].requests.peek()
        if len(self._backlogs) == 1:
            return
        for name in sorted(self._backlogs, key=lambda each: self._backlogs[each].start):
            if name != first:
                yield self._backlogs[name].requests.peek()

    def pop(self) -> SlotRequest:
        """Remove and return the next request.

        Raises
        ------
        KeyError
            If the queue is empty.
        """
        name = self._next_organisation()
        if name is None:
            raise KeyError("the queue is empty")
        return self.pop_of(name)

    def pop_of(self, name: str) -> SlotRequest:
        """Remove and return the next request of an organisation.

        Raises
        ------
        KeyError
            If it has none.
        """
        backlog = self._backlogs[name]
        request = backlog.requests.pop()
        if backlog.start > self._virtual_time:
            self._virtual_time = backlog.start
        backlog.start += backlog.step
        self._size -= 1
        self._served_count += 1
        backlog.served_count += 1
        if backlog.served_count >= _MEASURED_COUNT:
            backlog.since = (backlog.since + self._served_count) / 2
            backlog.served_count /= 2
        if not len(backlog.requests):
            self._end_backlog(name, backlog)
        return request

    def remove(self, request_id: int) -> SlotRequest | None:
        """Remove and return a request, or return None if it is not in the queue."""
        for name, backlog in self._backlogs.items():
            request = backlog.requests.remove(request_id)
            if request is None:
                continue
            self._size -= 1
            if not len(backlog.requests):
                self._end_backlog(name, backlog)
            return request
        return None

    def count_waiting(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        backlog = self._backlogs.get(organisation)
        return 0 if backlog is None else len(backlog.requests)

    def count_ahead(self, requester: Requester) -> int:
        """Count the requests that would be served before a new one of ``requester``."""
        organisation = requester.organisation
        own = self._backlogs.get(organisation)
        if own is None:
            own_count = 0
            start = self._first_start(organisation)
        else:
            own_count = own.requests.count_ahead(requester.session)
            start = own.start + own_count * _step(requester)
        ahead_count = own_count
        is_listed_before = True
        for name, backlog in self._backlogs.items():
            if name == organisation:
                is_listed_before = False
                continue
            turns = (start - backlog.start) / backlog.step
            # Of equal start times, that of the organisation listed first goes first.
            if is_listed_before:
                count = floor(turns + _ROUNDING) + 1
            else:
                count = ceil(turns - _ROUNDING)
            if count > 0:
                waiting_count = len(backlog.requests)
                ahead_count += count if count < waiting_count else waiting_count
        return ahead_count

    def estimate_ahead(self, requester: Requester) -> int:
        """Estimate how many requests are served before a new one of ``requester``.

        Besides those that wait before it, these are requests of other organisations
        that arrive later and go ahead, if they go on to do so as they did lately.
        """
        backlog = self._backlogs.get(requester.organisation)
        if backlog is not None and len(self._backlogs) == 1:
            ahead_count = backlog.requests.count_ahead(requester.session)
        else:
            ahead_count = self.count_ahead(requester)
        if backlog is None or not backlog.served_count:
            return ahead_count
        own_served_count = backlog.served_count
        overtaken_count = self._served_count - backlog.since - own_served_count
        if overtaken_count <= 0:
            return ahead_count
        others_each = overtaken_count / (own_served_count + _CAUTION_COUNT)
        own_count = backlog.requests.count_ahead(requester.session)
        return max(ahead_count, ceil(own_count * (1 + others_each)))

    def in_order(self) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they would be removed."""
        if len(self._backlogs) == 1:
            for backlog in self._backlogs.values():
                yield from backlog.requests.in_order()
            return
        streams = [
            _numbered(backlog, rank)
            for rank, backlog in enumerate(self._backlogs.values())
        ]
        for _, _, _, request in heapq.merge(*streams):
            yield request

    def last(self) -> SlotRequest | None:
        """Return the request that is served last, or None if the queue is empty.

        It is one of the organisation that is furthest over its part.
        """
        if not self._backlogs:
            return None
        # Of equal start times, that of the organisation listed last goes last.
        backlogs = reversed(self._backlogs.values())
        return max(backlogs, key=_last_start).requests.last()

    def _next_organisation(self) -> str | None:
        if len(self._backlogs) == 1:
            return next(iter(self._backlogs))
        earliest = None
        least = 0.0
        for name, backlog in self._backlogs.items():
            if earliest is None or backlog.start < least:
                earliest, least = name, backlog.start
        return earliest

    def _first_start(self, organisation: str) -> float:
        return max(self._virtual_time, self._next_starts.get(organisation, 0.0))

    def _add_backlog(self, requester: Requester) -> _Backlog:
        name = requester.organisation
        backlog = _Backlog(
            self._first_start(name), _step(requester), self._served_count
        )
        self._next_starts.pop(name, None)
        self._backlogs[name] = backlog
        return backlog

    def _end_backlog(self, name: str, backlog: _Backlog) -> None:
        del self._backlogs[name]
        if not self._backlogs:
            self._virtual_time = 0.0
            self._next_starts.clear()
        elif backlog.start > self._virtual_time:
            self._next_starts[name] = backlog.start


def _step(requester: Requester) -> float:
    return QUANTUM / max(_MIN_WEIGHT, requester.weight)


def _last_start(backlog: _Backlog) -> float:
    return backlog.start + (len(backlog.requests) - 1) * backlog.step


def _numbered(
    backlog: _Backlog, rank: int
) -> Iterator[tuple[float, int, int, SlotRequest]]:
    for index, request in enumerate(backlog.requests.in_order()):
        yield (backlog.start + index * backlog.step, rank, index, request)

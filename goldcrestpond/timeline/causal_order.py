"""Puts the records of many processes in one order."""

import heapq
from collections import defaultdict
from collections.abc import Sequence
from datetime import datetime

from .record import Record

_Key = tuple[datetime, str, int, int]


def order_records(records: Sequence[Record]) -> list[Record]:
    """Return the records so that none comes before what it follows.

    A record follows the one before it of the same run of its instance, the
    last one of that instance's former run, and the one that its ``after``
    names. Wall time decides only between records that these leave open. If the
    names form a circle, which only damaged files can hold, the ``after`` of the
    record with the earliest wall time in it is dropped.

    Parameters
    ----------
    records : sequence of Record
        Records of all files, in any order.

    Returns
    -------
    list of Record
        All records.
    """
    return _Order(records).run()


class _Order:
    """Kahn's algorithm over the records, with wall time as priority."""

    def __init__(self, records: Sequence[Record]):
        self._records = sorted(records, key=_own_place)
        self._followers: defaultdict[int, list[int]] = defaultdict(list)
        self._waits_for = [0] * len(self._records)
        self._after_of: dict[int, int] = {}
        self._link_own()
        self._link_after()

    def run(self) -> list[Record]:
        ready = [
            self._entry(number)
            for number, count in enumerate(self._waits_for)
            if count == 0
        ]
        heapq.heapify(ready)
        ordered: list[Record] = []
        while len(ordered) < len(self._records):
            if not ready:
                self._break_circle(ready)
            number = heapq.heappop(ready)[1]
            ordered.append(self._records[number])
            self._after_of.pop(number, None)
            for follower in self._followers[number]:
                self._release(follower, ready)
        return ordered

    def _link_own(self) -> None:
        for number in range(1, len(self._records)):
            before, record = self._records[number - 1], self._records[number]
            if before.event.instance == record.event.instance:
                self._link(number - 1, number)

    def _link_after(self) -> None:
        by_name: defaultdict[str, list[int]] = defaultdict(list)
        for number, record in enumerate(self._records):
            name = f"{record.event.instance}:{record.event.sequence}"
            by_name[name].append(number)
        for number, record in enumerate(self._records):
            named = by_name.get(record.event.after) if record.event.after else None
            if named:
                self._link_named(number, named)

    def _link_named(self, number: int, named: list[int]) -> None:
        """Link to the named record; of several runs, the nearest in time."""
        wall_time = self._records[number].event.wall_time
        nearest = min(
            named,
            key=lambda other: abs(self._records[other].event.wall_time - wall_time),
        )
        self._link(nearest, number)
        self._after_of[number] = nearest

    def _link(self, before: int, after: int) -> None:
        self._followers[before].append(after)
        self._waits_for[after] += 1

    def _release(self, number: int, ready: list[tuple[_Key, int]]) -> None:
        self._waits_for[number] -= 1
        if self._waits_for[number] == 0:
            heapq.heappush(ready, self._entry(number))

    def _break_circle(self, ready: list[tuple[_Key, int]]) -> None:
        stuck = [n for n in self._after_of if self._waits_for[n] > 0]
        number = min(stuck, key=self._entry)
        self._followers[self._after_of.pop(number)].remove(number)
        self._release(number, ready)

    def _entry(self, number: int) -> tuple[_Key, int]:
        record = self._records[number]
        event = record.event
        return (event.wall_time, event.instance, record.run, event.sequence), number


def _own_place(record: Record) -> tuple[str, int, int]:
    return record.event.instance, record.run, record.event.sequence

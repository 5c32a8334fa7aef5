"""Sorts the records of many processes in causal order."""

import heapq
from collections import defaultdict
from collections.abc import Sequence
from datetime import datetime

from .record import Record

_Key = tuple[datetime, str, int, int]


def order_records(records: Sequence[Record]) -> list[Record]:
    """Return the records sorted so that each comes after those that it follows.

    A record follows the previous record of its instance, which may belong to the
    instance's previous run, and the record that its ``after`` names. Wall time
    decides only between records that these relations leave unordered. If the
    relations form a cycle, which only damaged files contain, the ``after`` of the
    blocked record with the earliest wall time is ignored.

    Parameters
    ----------
    records : sequence of Record
        Records of all files, in any order.

    Returns
    -------
    list of Record
        All records, sorted.
    """
    return _CausalSort(records).run()


class _CausalSort:
    """Topological sort of the records by Kahn's algorithm, with wall time as priority.

    Records are identified by their indices in ``_records``.
    """

    def __init__(self, records: Sequence[Record]):
        self._records = sorted(records, key=_instance_key)
        self._successors: defaultdict[int, list[int]] = defaultdict(list)
        self._predecessor_counts = [0] * len(self._records)
        # For records that are not sorted yet: the record that their ``after`` names.
        self._after_links: dict[int, int] = {}
        self._link_same_instance()
        self._link_named_events()

    def run(self) -> list[Record]:
        ready = [
            self._heap_entry(index)
            for index, count in enumerate(self._predecessor_counts)
            if count == 0
        ]
        heapq.heapify(ready)
        ordered: list[Record] = []
        while len(ordered) < len(self._records):
            if not ready:
                self._break_cycle(ready)
            index = heapq.heappop(ready)[1]
            ordered.append(self._records[index])
            self._after_links.pop(index, None)
            for successor in self._successors[index]:
                self._remove_predecessor(successor, ready)
        return ordered

    def _link_same_instance(self) -> None:
        for index in range(1, len(self._records)):
            before, record = self._records[index - 1], self._records[index]
            if before.event.instance == record.event.instance:
                self._link(index - 1, index)

    def _link_named_events(self) -> None:
        by_name: defaultdict[str, list[int]] = defaultdict(list)
        for index, record in enumerate(self._records):
            name = f"{record.event.instance}:{record.event.sequence}"
            by_name[name].append(index)
        for index, record in enumerate(self._records):
            candidates = by_name.get(record.event.after) if record.event.after else None
            if candidates:
                self._link_nearest(index, candidates)

    def _link_nearest(self, index: int, candidates: list[int]) -> None:
        """Link a record to the one its ``after`` names.

        If several runs have a record of that name, the nearest in wall time is used.
        """
        wall_time = self._records[index].event.wall_time
        nearest = min(
            candidates,
            key=lambda other: abs(self._records[other].event.wall_time - wall_time),
        )
        self._link(nearest, index)
        self._after_links[index] = nearest

    def _link(self, before: int, after: int) -> None:
        self._successors[before].append(after)
        self._predecessor_counts[after] += 1

    def _remove_predecessor(self, index: int, ready: list[tuple[_Key, int]]) -> None:
        self._predecessor_counts[index] -= 1
        if self._predecessor_counts[index] == 0:
            heapq.heappush(ready, self._heap_entry(index))

    def _break_cycle(self, ready: list[tuple[_Key, int]]) -> None:
        blocked = [i for i in self._after_links if self._predecessor_counts[i] > 0]
        index = min(blocked, key=self._heap_entry)
        self._successors[self._after_links.pop(index)].remove(index)
        self._remove_predecessor(index, ready)

    def _heap_entry(self, index: int) -> tuple[_Key, int]:
        record = self._records[index]
        event = record.event
        return (event.wall_time, event.instance, record.run, event.sequence), index


def _instance_key(record: Record) -> tuple[str, int, int]:
    return record.event.instance, record.run, record.event.sequence

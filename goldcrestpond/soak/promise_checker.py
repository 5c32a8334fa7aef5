"""Checks the promises to callers while a soak runs."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from ..standin.line_bodies import NOT_EXECUTED_CODES


@dataclass(slots=True)
class PromiseChecker:
    """What was acknowledged, and what contradicts it.

    Items hold rising numbers, each written by one caller alone.

    Attributes
    ----------
    findings : list of str
        Broken promises.
    counts : Counter
        Outcomes by word.
    """

    findings: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    _acknowledged_by_item: dict[str, list[tuple[timedelta, int]]] = field(
        default_factory=dict
    )
    _refused: set[tuple[str, int]] = field(default_factory=set)

    def record_acknowledged(self, item: str, number: int, now: timedelta) -> None:
        """Take in that a write of a number was acknowledged."""
        self._acknowledged_by_item.setdefault(item, []).append((now, number))

    def record_refused(self, item: str, number: int, error_code: str) -> None:
        """Take in that a write was answered with an error."""
        if error_code in NOT_EXECUTED_CODES:
            self._refused.add((item, number))

    def get_newest_acknowledged(self, item: str, reading: timedelta) -> int:
        """Return the last number acknowledged at or before a reading."""
        known = self._acknowledged_by_item.get(item, [])
        return max((number for at, number in known if at <= reading), default=0)

    def check_read(self, item: str, number: int, required: int, why: str) -> None:
        """Take in what a read showed, and what it must have shown at least."""
        if number < required:
            self.findings.append(f"{why}: {item} shows {number}, must show {required}")

    def check_executions(self, runs: Counter) -> None:
        """Take in how often databases ran each write of a caller."""
        for request, count in runs.items():
            if count > 1:
                self.findings.append(f"doubled: {request} ran {count} times")

    def check_log(self, item: str, numbers: list[int]) -> None:
        """Take in the numbers of an item in the leader's log at the end."""
        newest = self.get_newest_acknowledged(item, timedelta.max)
        if newest and newest not in numbers:
            self.findings.append(f"lost: {item} lacks {newest}")
        for number in numbers:
            if (item, number) in self._refused:
                self.findings.append(f"untrue: {item} holds refused {number}")

    def check_version(self, instance: str, previous: int, current: int) -> None:
        """Take in two readings of a process's configuration version."""
        if current < previous:
            self.findings.append(f"config: {instance} from {previous} to {current}")

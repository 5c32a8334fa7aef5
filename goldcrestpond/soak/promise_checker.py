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
    _acknowledged: dict[str, list[tuple[timedelta, int]]] = field(default_factory=dict)
    _refused: set[tuple[str, int]] = field(default_factory=set)

    def acknowledged(self, item: str, number: int, now: timedelta) -> None:
        """Take in that a write of a number was acknowledged."""
        self._acknowledged.setdefault(item, []).append((now, number))

    def refused(self, item: str, number: int, word: str) -> None:
        """Take in that a write was answered with an error."""
        if word in NOT_EXECUTED_CODES:
            self._refused.add((item, number))

    def newest_before(self, item: str, reading: timedelta) -> int:
        """Return the last number acknowledged at or before a reading."""
        known = self._acknowledged.get(item, [])
        return max((number for at, number in known if at <= reading), default=0)

    def read(self, item: str, number: int, needed: int, why: str) -> None:
        """Take in what a read showed, and what it must have shown at least."""
        if number < needed:
            self.findings.append(f"{why}: {item} shows {number}, must show {needed}")

    def executed(self, runs: Counter) -> None:
        """Take in how often databases ran each write of a caller."""
        for request, count in runs.items():
            if count > 1:
                self.findings.append(f"doubled: {request} ran {count} times")

    def kept(self, item: str, numbers: list[int]) -> None:
        """Take in the numbers of an item in the leader's log at the end."""
        newest = self.newest_before(item, timedelta.max)
        if newest and newest not in numbers:
            self.findings.append(f"lost: {item} lacks {newest}")
        for number in numbers:
            if (item, number) in self._refused:
                self.findings.append(f"untrue: {item} holds refused {number}")

    def version(self, instance: str, former: int, present: int) -> None:
        """Take in two readings of a process's configuration version."""
        if present < former:
            self.findings.append(f"config: {instance} from {former} to {present}")

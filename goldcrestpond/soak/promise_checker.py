"""Checks the guarantees to callers during a soak."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from ..standin.line_bodies import NOT_EXECUTED_CODES


@dataclass(slots=True)
class PromiseChecker:
    """Records answers to callers and reports each answer that contradicts them.

    Each item is written by one caller only, with increasing numbers.

    Attributes
    ----------
    findings : list of str
        Descriptions of broken guarantees.
    counts : Counter
        Number of answers by first word or error code, and of lost connections by
        exception name.
    """

    findings: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    _acknowledged: dict[str, list[tuple[timedelta, int]]] = field(default_factory=dict)
    _refused: set[tuple[str, int]] = field(default_factory=set)
    _rolled_back: set[tuple[str, int]] = field(default_factory=set)

    def record_acknowledged(self, item: str, number: int, now: timedelta) -> None:
        """Record that the write of a number was acknowledged."""
        self._acknowledged.setdefault(item, []).append((now, number))

    def record_refused(self, item: str, number: int, error_code: str) -> None:
        """Record that a write was answered with an error code."""
        if error_code in NOT_EXECUTED_CODES:
            self._refused.add((item, number))

    def record_rolled_back(self, item: str, number: int) -> None:
        """Record that a promotion, which is a finding, rolled a write back.

        No read needs to show it any more.
        """
        self._rolled_back.add((item, number))

    def is_acknowledged(self, item: str, number: int) -> bool:
        """Return whether a write was acknowledged to its caller."""
        return any(n == number for _, n in self._acknowledged.get(item, []))

    def get_newest_acknowledged(self, item: str, moment: timedelta) -> int:
        """Return the highest number acknowledged at or before ``moment``, or 0."""
        acknowledged = self._acknowledged.get(item, [])
        return max(
            (
                number
                for acknowledged_at, number in acknowledged
                if acknowledged_at <= moment and (item, number) not in self._rolled_back
            ),
            default=0,
        )

    def check_read(self, item: str, number: int, required: int, why: str) -> None:
        """Check that a read showed at least the required number."""
        if (item, required) in self._rolled_back:
            kept = (n for _, n in self._acknowledged[item] if n < required)
            kept = (n for n in kept if (item, n) not in self._rolled_back)
            required = max(kept, default=0)
        if number < required:
            self.findings.append(f"{why}: {item} shows {number}, must show {required}")

    def check_executions(self, runs: Counter) -> None:
        """Check that the databases ran no write more than once.

        Parameters
        ----------
        runs : Counter
            Number of executions by request.
        """
        for request, count in runs.items():
            if count > 1:
                self.findings.append(f"doubled: {request} ran {count} times")

    def check_log(self, item: str, numbers: list[int]) -> None:
        """Check the numbers of an item in the leader's log at the end of the soak."""
        newest = self.get_newest_acknowledged(item, timedelta.max)
        if newest and newest not in numbers:
            self.findings.append(f"lost: {item} lacks {newest}")
        for number in numbers:
            if (item, number) in self._refused:
                self.findings.append(f"untrue: {item} holds refused {number}")

    def record_cut(self, request: str, instance: str) -> None:
        """Record a request that a database got and a planned stop left unanswered."""
        self.findings.append(f"cut: {request} by the stop of {instance}")

    def check_version(self, instance: str, previous: int, current: int) -> None:
        """Check that the configuration version of a process does not go back."""
        if current < previous:
            self.findings.append(f"config: {instance} from {previous} to {current}")

"""The highest position that may have been acknowledged, as all holders know it."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class HighestAcknowledged:
    """What the instances that sent commits to a service know together.

    Attributes
    ----------
    position : LogPosition or None
        No commit that any of them saw acknowledged lies above it, and they send none
        to the former leader meanwhile; None if somebody does not know.
    unknown : tuple of str
        Those that did not say.
    """

    position: LogPosition | None
    unknown: tuple[str, ...] = ()


def combine_acknowledged(
    answers: Iterable[tuple[str, LogPosition | None]],
) -> HighestAcknowledged:
    """Combine what instances said, by name; None stands for no answer."""
    known = dict(answers)
    unknown = tuple(sorted(name for name, answer in known.items() if answer is None))
    if unknown or not known:
        return HighestAcknowledged(None, unknown)
    return HighestAcknowledged(max(known.values()))

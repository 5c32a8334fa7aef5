"""Combines what all instances know of the highest acknowledged log position."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..group.log_position import LogPosition


class InstanceAnswer(NamedTuple):
    """What one instance answered when it was asked to block commits.

    Attributes
    ----------
    instance : str
        Its name.
    position : LogPosition or None
        No commit that it sent is acknowledged above this position; None if unknown.
    has_answered : bool
        Whether it answered, and so sends no more commits.
    known_position : LogPosition or None
        Highest position at which it knows a commit to be acknowledged; None if it knows
        of none.
    has_in_flight : bool
        Whether commits were still in flight, which their leader may run later.
    """

    instance: str
    position: LogPosition | None
    has_answered: bool = True
    known_position: LogPosition | None = None
    has_in_flight: bool = False


@dataclass(frozen=True, slots=True)
class HighestAcknowledged:
    """Upper limit of the acknowledged commits of one service.

    Attributes
    ----------
    position : LogPosition or None
        No acknowledged commit of any instance lies above it, and meanwhile no
        instance sends commits; None if an instance did not report its position.
    missing_instances : tuple of str
        Instances that did not report a position.
    silent_instances : tuple of str
        Those of them that did not answer, and may send commits.
    known_position : LogPosition or None
        Highest position at which those that answered know a commit to be acknowledged;
        None if they know of none. Unlike ``position`` it is no upper limit.
    busy_instances : tuple of str
        Those that had commits in flight.
    """

    position: LogPosition | None
    missing_instances: tuple[str, ...] = ()
    silent_instances: tuple[str, ...] = ()
    known_position: LogPosition | None = None
    busy_instances: tuple[str, ...] = ()


def combine_acknowledged(answers: Iterable[InstanceAnswer]) -> HighestAcknowledged:
    """Combine the answers of all instances."""
    by_name = {answer.instance: answer for answer in answers}
    missing = sorted(name for name, each in by_name.items() if each.position is None)
    silent = sorted(name for name, each in by_name.items() if not each.has_answered)
    busy = sorted(name for name, each in by_name.items() if each.has_in_flight)
    position = None
    if by_name and not missing:
        position = max(answer.position for answer in by_name.values())
    known = [each.known_position for each in by_name.values() if each.known_position]
    return HighestAcknowledged(
        position, tuple(missing), tuple(silent), max(known, default=None), tuple(busy)
    )

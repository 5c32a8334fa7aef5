"""Combines what all instances know of the highest acknowledged log position."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class HighestAcknowledged:
    """Upper limit of the acknowledged commits of one service.

    Attributes
    ----------
    position : LogPosition or None
        No acknowledged commit of any instance lies above it, and meanwhile no
        instance sends commits to the previous leader; None if an instance did not
        report its position.
    missing_instances : tuple of str
        Instances that did not report a position.
    """

    position: LogPosition | None
    missing_instances: tuple[str, ...] = ()


def combine_acknowledged(
    positions: Iterable[tuple[str, LogPosition | None]],
) -> HighestAcknowledged:
    """Combine the positions that instances reported.

    Parameters
    ----------
    positions : iterable of tuple of str and LogPosition or None
        Name of each instance and its highest acknowledged position; None if it did
        not report one.
    """
    known = dict(positions)
    missing = tuple(sorted(name for name, at in known.items() if at is None))
    if missing or not known:
        return HighestAcknowledged(None, missing)
    return HighestAcknowledged(max(known.values()))

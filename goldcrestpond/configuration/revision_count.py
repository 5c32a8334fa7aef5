"""How many live instances have a revision in force."""

from collections import Counter
from collections.abc import Iterable

import msgspec

# Entries of a summary that instances send; the oldest revisions are merged.
_MAX_SUMMARY_ENTRIES = 16


class RevisionCount(msgspec.Struct, frozen=True, array_like=True):
    """Live instances whose configuration has one revision.

    Attributes
    ----------
    revision : int
        Revision in force.
    instance_count : int
        Live instances that have it in force.
    """

    revision: int
    instance_count: int


def merge_counts(parts: Iterable[Iterable[RevisionCount]]) -> list[RevisionCount]:
    """Merge the summaries of disjoint sets of instances.

    The result has a bounded number of entries. Beyond the limit, instances are
    counted under the lowest revision among them, so that none is counted under
    a higher revision than it has in force.

    Returns
    -------
    list of RevisionCount
        Highest revision first.
    """
    counts: Counter[int] = Counter()
    for part in parts:
        for entry in part:
            counts[entry.revision] += entry.instance_count
    ordered = [RevisionCount(*item) for item in sorted(counts.items(), reverse=True)]
    kept, rest = (
        ordered[: _MAX_SUMMARY_ENTRIES - 1],
        ordered[_MAX_SUMMARY_ENTRIES - 1 :],
    )
    if rest:
        total = sum(entry.instance_count for entry in rest)
        kept.append(RevisionCount(rest[-1].revision, total))
    return kept


def find_lowest_revision(summary: Iterable[RevisionCount]) -> int:
    """Return the revision that all instances have reached, 0 if not known."""
    return min((entry.revision for entry in summary), default=0)


def count_in_force(summary: Iterable[RevisionCount], revision: int) -> tuple[int, int]:
    """Count the live instances that have a revision in force, and all live ones.

    Returns
    -------
    tuple of (int, int)
        Instances with ``revision`` or a higher one, and all live instances.
    """
    entries = list(summary)
    in_force = [entry for entry in entries if entry.revision >= revision]
    return (
        sum(entry.instance_count for entry in in_force),
        sum(entry.instance_count for entry in entries),
    )

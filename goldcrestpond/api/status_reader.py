"""Computes the status of resources."""

from collections import Counter
from collections.abc import Callable

from ..configuration.kind import Kind
from ..configuration.resource import Resource
from ..configuration.resource_table import ResourceTable
from ..configuration.revision_count import (
    RevisionCount,
    count_in_force,
    find_lowest_revision,
)
from ..drain.drain_phase import DrainPhase
from ..drain.drain_progress import DrainProgress
from .resource_status import ResourceStatus
from .status_condition import StatusCondition

ReadDrain = Callable[[str, int], list[DrainProgress]]
ReadInForce = Callable[[], list[RevisionCount]]


class StatusReader:
    """Computes a resource's status from the table and the instances' reports.

    Parameters
    ----------
    table : ResourceTable
        All resources.
    read_in_force : callable
        Returns the revisions in force on live instances.
    read_drain : callable
        Returns the progress of a drain order that instances reported after a
        revision.

    Attributes
    ----------
    store_reachable : bool
        False if the last read of the table failed.
    """

    __slots__ = ("_read_drain", "_read_in_force", "_table", "store_reachable")

    def __init__(
        self,
        table: ResourceTable,
        read_in_force: ReadInForce,
        read_drain: ReadDrain,
    ):
        self._table = table
        self._read_in_force = read_in_force
        self._read_drain = read_drain
        self.store_reachable = True

    def read(self, resource: Resource) -> ResourceStatus:
        """Return the status of a resource."""
        summary = self._read_in_force()
        version = resource.resource_version
        in_force_count, live_count = count_in_force(summary, version)
        lowest_revision = find_lowest_revision(summary)
        observed_generation = self._table.find_generation_at(
            resource.kind, resource.name, lowest_revision
        )
        if live_count and in_force_count == live_count:
            observed_generation = resource.generation
        conditions = [
            _make_in_force_condition(in_force_count, live_count),
            _make_store_condition(self.store_reachable),
        ]
        if resource.kind is Kind.DRAIN_ORDER:
            # Once the order was changed, the revision of its creation is no
            # longer known, so reports of any revision count.
            is_first = resource.generation == 1
            since_revision = resource.resource_version if is_first else 0
            reports = self._read_drain(resource.name, since_revision)
            conditions.append(_make_drained_condition(reports, live_count))
        return ResourceStatus(
            observed_generation, live_count, in_force_count, conditions
        )


def _make_in_force_condition(in_force_count: int, live_count: int) -> StatusCondition:
    if live_count == 0:
        return StatusCondition("InForce", "Unknown", "no live instance is known")
    status = "True" if in_force_count == live_count else "False"
    reason = f"{in_force_count} of {live_count} live instances"
    return StatusCondition("InForce", status, reason)


def _make_drained_condition(
    reports: list[DrainProgress], live_count: int
) -> StatusCondition:
    done_count = sum(report.phase is DrainPhase.DONE for report in reports)
    expected_count = max(live_count, len(reports))
    if not reports:
        return StatusCondition("Drained", "Unknown", "no instance has reported yet")
    status = "True" if done_count >= expected_count else "False"
    phases = Counter(report.phase.value for report in reports)
    phase_counts = ", ".join(
        f"{count} {phase}" for phase, count in sorted(phases.items())
    )
    return StatusCondition(
        "Drained", status, f"of {expected_count} instances {phase_counts}"
    )


def _make_store_condition(reachable: bool) -> StatusCondition:
    if reachable:
        return StatusCondition("StoreReachable", "True", "the table answered")
    return StatusCondition("StoreReachable", "False", "the newest known state")

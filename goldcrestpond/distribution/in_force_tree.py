"""Computes what is in force, along a tree of the live instances."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..configuration.revision_count import RevisionCount, merge_counts
from ..membership.membership import Membership
from .distribution_settings import DistributionSettings
from .force_claim import ForceClaim
from .force_report import ForceReport
from .local_configuration import LocalConfiguration
from .revision_notice import RevisionNotice
from .send import Send

# A root with more reports than this claims only every ``claim_interval``.
_MANY_CHILDREN = 5
_ID_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: ForceReport
    address: str
    received_at: timedelta


@dataclass(frozen=True, slots=True)
class _StoredClaim:
    claim: ForceClaim
    computed_at: timedelta


class InForceTree:
    """One member's part in counting which revisions are in force.

    Each member reports to its parent in the ring's tree the revisions of
    itself and of its descendants. The root sends a claim down the tree only if
    the counted instances are exactly those that are live in its view. It
    compares their number and the sum of their ids, so that an instance that is
    missing, counted twice or no longer live prevents the claim. A process that
    knows of other instances but has not joined them yet claims nothing. A
    process never lowers its revision, so a late report can only show too low a
    revision.

    A claim that all have revision R therefore means: each instance that was
    live in the root's view has reported R or a higher revision. Instances that
    are cut off and declared dead are not covered. Instances that started
    meanwhile serve nothing until a confirmed member has sent them its revision.

    Parameters
    ----------
    membership : Membership
        The live members.
    configuration : LocalConfiguration
        The configuration of this process.
    settings : DistributionSettings
        Periods and limits.
    now : timedelta
        Monotonic time.
    """

    __slots__ = (
        "_claim",
        "_claim_number",
        "_configuration",
        "_last_report",
        "_membership",
        "_parent_address",
        "_reported_at",
        "_reports",
        "_sends_left",
        "_settings",
    )

    def __init__(
        self,
        membership: Membership,
        configuration: LocalConfiguration,
        settings: DistributionSettings,
        now: timedelta,
    ):
        self._membership = membership
        self._configuration = configuration
        self._settings = settings
        self._reports: dict[int, _ReceivedReport] = {}
        self._parent_address = ""
        self._last_report: ForceReport | None = None
        self._reported_at = now - settings.report_period
        self._claim: _StoredClaim | None = None
        self._claim_number = 0
        self._sends_left = 0

    def in_force(self, now: timedelta) -> list[RevisionCount]:
        """Return the revisions of all live instances, empty if not known."""
        if self._claim is None:
            return []
        if now - self._claim.computed_at > self._settings.claim_lifetime:
            return []
        return self._claim.claim.counts

    def current_claim(self, now: timedelta) -> ForceClaim:
        """Return what is in force, for a process that is not a member."""
        if not self.in_force(now):
            return ForceClaim(self._own_id(), 0, 0, 0, [])
        return self._claim_to_forward(now)

    @property
    def is_root(self) -> bool:
        """True if this member is the root in its own view."""
        return self._parent() is None

    def tick(self, now: timedelta) -> list[Send]:
        """Return the report to the parent, or the root's claims, if due."""
        if now - self._reported_at < self._report_interval():
            return []
        self._drop_old_reports(now)
        report = self._aggregate_reports()
        parent = self._parent()
        address = "" if parent is None else self._address(parent)
        has_new_parent = address != self._parent_address
        self._parent_address = address
        is_due = now - self._reported_at >= self._settings.report_period
        if has_new_parent or report != self._last_report:
            self._sends_left = self._settings.report_sends
        if not self._sends_left and not is_due:
            return []
        self._sends_left = max(0, self._sends_left - 1)
        self._reported_at = now
        self._last_report = report
        if parent is not None:
            return [Send(address, report)]
        return self._publish_claim(report, now)

    def on_report(self, report: ForceReport, source: str, now: timedelta) -> None:
        """Store a child's report."""
        self._reports[report.sender_id] = _ReceivedReport(report, source, now)

    def on_claim(self, claim: ForceClaim, now: timedelta) -> list[Send]:
        """Store a claim of the root and forward it to the children."""
        root = self._membership.table.ring.root()
        if claim.root_id != root or root == self._own_id():
            return []
        if claim.number <= self._stored_claim_number():
            return []
        return self._store_and_forward(claim, now)

    def add_claim_number(self, notice: RevisionNotice) -> RevisionNotice:
        """Return the notice with the root and number of this member's claim."""
        root = self._membership.table.ring.root()
        number = self._stored_claim_number()
        return msgspec.structs.replace(notice, root_id=root, claim_number=number)

    def on_notice(
        self, notice: RevisionNotice, source: str, now: timedelta
    ) -> list[Send]:
        """Recover a lost claim: send the newer one, or a notice that asks for it."""
        is_same_root = notice.root_id == self._membership.table.ring.root()
        sender_number = notice.claim_number if is_same_root else 0
        own_number = self._stored_claim_number()
        if sender_number < own_number and self.in_force(now):
            return [Send(source, self._claim_to_forward(now))]
        if sender_number > own_number:
            # A notice without a claim number makes the receiver send its claim.
            revision = self._configuration.state.revision
            return [Send(source, RevisionNotice(self._own_id(), revision))]
        return []

    def _stored_claim_number(self) -> int:
        """Return the number of the stored claim if the present root made it, or 0."""
        root = self._membership.table.ring.root()
        if self._claim is None or self._claim.claim.root_id != root:
            return 0
        return self._claim.claim.number

    def _store_and_forward(self, claim: ForceClaim, now: timedelta) -> list[Send]:
        self._claim = _StoredClaim(claim, now - timedelta(milliseconds=claim.age_ms))
        forwarded = self._claim_to_forward(now)
        return [Send(received.address, forwarded) for received in self._child_reports()]

    def _claim_to_forward(self, now: timedelta) -> ForceClaim:
        age_ms = (now - self._claim.computed_at) // timedelta(milliseconds=1)
        return msgspec.structs.replace(
            self._claim.claim, sender_id=self._own_id(), age_ms=age_ms
        )

    def _publish_claim(self, report: ForceReport, now: timedelta) -> list[Send]:
        if self._membership.is_joining:
            return []
        table = self._membership.table
        count = sum(entry.instance_count for entry in report.counts)
        if count != len(table.ring) or report.id_sum != table.id_sum:
            return []
        self._claim_number += 1
        own_id = self._own_id()
        claim = ForceClaim(own_id, own_id, self._claim_number, 0, report.counts)
        return self._store_and_forward(claim, now)

    def _report_interval(self) -> timedelta:
        if self.is_root and len(self._reports) > _MANY_CHILDREN:
            return self._settings.claim_interval
        per_child = self._settings.report_interval_per_child
        return self._settings.report_interval + per_child * len(self._reports)

    def _aggregate_reports(self) -> ForceReport:
        reports = [received.report for received in self._child_reports()]
        own = [RevisionCount(self._configuration.state.revision, 1)]
        counts = merge_counts([own, *(report.counts for report in reports)])
        id_sum = _add_id_sums((report.id_sum for report in reports), self._own_id())
        return ForceReport(self._own_id(), id_sum, counts)

    def _child_reports(self) -> list[_ReceivedReport]:
        """Return the reports of the members whose parent is this member.

        Other senders have moved to another parent, or this member has not yet
        learned of the membership change that makes it their parent.
        """
        ring = self._membership.table.ring
        own_id = self._own_id()
        return [
            received
            for sender_id, received in self._reports.items()
            if sender_id in ring and ring.parent(sender_id) == own_id
        ]

    def _drop_old_reports(self, now: timedelta) -> None:
        for sender_id, received in list(self._reports.items()):
            if now - received.received_at > self._settings.report_lifetime:
                del self._reports[sender_id]

    def _parent(self) -> int | None:
        return self._membership.table.ring.parent(self._own_id())

    def _address(self, instance_id: int) -> str:
        return self._membership.table.get(instance_id).address

    def _own_id(self) -> int:
        return self._membership.identity.instance_id


def _add_id_sums(id_sums: Iterable[int], own_id: int) -> int:
    return (sum(id_sums) + own_id) & _ID_MASK

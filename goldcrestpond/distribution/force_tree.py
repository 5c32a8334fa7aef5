"""Works out what is in force, along a tree over the live instances."""

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

# A root with fewer children claims as fast as others report.
_MANY_CHILDREN = 5
_ID_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class _HeardReport:
    report: ForceReport
    address: str
    heard_at: timedelta


@dataclass(frozen=True, slots=True)
class _HeldClaim:
    claim: ForceClaim
    held_at: timedelta


class ForceTree:
    """One member's part in counting which revisions are in force.

    Each member tells its parent in the ring's tree the revisions of itself and
    of all below it. The root claims a result only if the instances counted are
    exactly those that it holds for live, compared by number and by the sum of
    their ids: whoever is missing, counted twice or no longer live prevents
    the claim. A process that knows of others and has not joined them claims
    nothing. As a process never lowers its revision, a late report can only
    understate.

    A claim that all have revision R therefore means: each instance that the
    root held for live has told of R or a higher one. Instances that are cut
    off and held for dead are not covered; those that started meanwhile serve
    nothing before a confirmed member gave them its revision.

    Parameters
    ----------
    membership : Membership
        The members that are live.
    holder : LocalConfiguration
        The configuration of this process.
    settings : DistributionSettings
        Periods and limits.
    now : timedelta
        Monotonic reading.
    """

    __slots__ = (
        "_claim",
        "_claim_number",
        "_holder",
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
        holder: LocalConfiguration,
        settings: DistributionSettings,
        now: timedelta,
    ):
        self._membership = membership
        self._holder = holder
        self._settings = settings
        self._reports: dict[int, _HeardReport] = {}
        self._parent_address = ""
        self._last_report: ForceReport | None = None
        self._reported_at = now - settings.report_period
        self._claim: _HeldClaim | None = None
        self._claim_number = 0
        self._sends_left = 0

    def in_force(self, now: timedelta) -> list[RevisionCount]:
        """Return the revisions of all live instances; empty if not known now."""
        if self._claim is None:
            return []
        if now - self._claim.held_at > self._settings.claim_lifetime:
            return []
        return self._claim.claim.counts

    def current_claim(self, now: timedelta) -> ForceClaim:
        """Return what is in force for one that is no member."""
        if not self.in_force(now):
            return ForceClaim(self._own_id(), 0, 0, 0, [])
        return self._passed_on(now)

    @property
    def is_root(self) -> bool:
        """True if this member holds itself for the root."""
        return self._parent() is None

    def tick(self, now: timedelta) -> list[Send]:
        """Report to the parent, or claim as the root, if it is due."""
        if now - self._reported_at < self._interval():
            return []
        self._drop_old_reports(now)
        report = self._sum_up()
        parent = self._parent()
        address = "" if parent is None else self._address(parent)
        moved = address != self._parent_address
        self._parent_address = address
        is_due = now - self._reported_at >= self._settings.report_period
        if moved or report != self._last_report:
            self._sends_left = self._settings.report_sends
        if not self._sends_left and not is_due:
            return []
        self._sends_left = max(0, self._sends_left - 1)
        self._reported_at = now
        self._last_report = report
        if parent is not None:
            return [Send(address, report)]
        return self._claim_total(report, now)

    def on_report(self, report: ForceReport, source: str, now: timedelta) -> None:
        """Take a child's report in."""
        self._reports[report.sender_id] = _HeardReport(report, source, now)

    def on_claim(self, claim: ForceClaim, now: timedelta) -> list[Send]:
        """Hold a claim of the root and pass it on to the children."""
        root = self._membership.table.ring.root()
        if claim.root_id != root or root == self._own_id():
            return []
        if claim.number <= self._present_number():
            return []
        return self._hold(claim, now)

    def mark(self, notice: RevisionNotice) -> RevisionNotice:
        """Return a notice that says how new this member's claim is."""
        root = self._membership.table.ring.root()
        number = self._present_number()
        return msgspec.structs.replace(notice, root_id=root, claim_number=number)

    def on_notice(
        self, notice: RevisionNotice, source: str, now: timedelta
    ) -> list[Send]:
        """Make good a claim that got lost: send it, or ask by a notice."""
        is_same_root = notice.root_id == self._membership.table.ring.root()
        theirs = notice.claim_number if is_same_root else 0
        own = self._present_number()
        if theirs < own and self.in_force(now):
            return [Send(source, self._passed_on(now))]
        if theirs > own:
            revision = self._holder.state.revision
            return [Send(source, RevisionNotice(self._own_id(), revision))]
        return []

    def _present_number(self) -> int:
        """Return the number of the claim that the present root made, or 0."""
        root = self._membership.table.ring.root()
        if self._claim is None or self._claim.claim.root_id != root:
            return 0
        return self._claim.claim.number

    def _hold(self, claim: ForceClaim, now: timedelta) -> list[Send]:
        self._claim = _HeldClaim(claim, now - timedelta(milliseconds=claim.age_ms))
        passed_on = self._passed_on(now)
        return [Send(heard.address, passed_on) for heard in self._children()]

    def _passed_on(self, now: timedelta) -> ForceClaim:
        age_ms = (now - self._claim.held_at) // timedelta(milliseconds=1)
        return msgspec.structs.replace(
            self._claim.claim, sender_id=self._own_id(), age_ms=age_ms
        )

    def _claim_total(self, report: ForceReport, now: timedelta) -> list[Send]:
        if self._membership.is_joining:
            return []
        table = self._membership.table
        count = sum(entry.instance_count for entry in report.counts)
        if count != len(table.ring) or report.id_sum != table.id_sum:
            return []
        self._claim_number += 1
        own_id = self._own_id()
        claim = ForceClaim(own_id, own_id, self._claim_number, 0, report.counts)
        return self._hold(claim, now)

    def _interval(self) -> timedelta:
        if self.is_root and len(self._reports) > _MANY_CHILDREN:
            return self._settings.claim_interval
        per_child = self._settings.report_interval_per_child
        return self._settings.report_interval + per_child * len(self._reports)

    def _sum_up(self) -> ForceReport:
        reports = [heard.report for heard in self._children()]
        own = [RevisionCount(self._holder.state.revision, 1)]
        counts = merge_counts([own, *(report.counts for report in reports)])
        id_sum = _add((report.id_sum for report in reports), self._own_id())
        return ForceReport(self._own_id(), id_sum, counts)

    def _children(self) -> list[_HeardReport]:
        """Return the reports of those whose parent this member is by its view.

        Others moved to another parent, or this member has not yet heard of a
        change that makes it their parent.
        """
        ring = self._membership.table.ring
        own_id = self._own_id()
        return [
            heard
            for sender_id, heard in self._reports.items()
            if sender_id in ring and ring.parent(sender_id) == own_id
        ]

    def _drop_old_reports(self, now: timedelta) -> None:
        for sender_id, heard in list(self._reports.items()):
            if now - heard.heard_at > self._settings.report_lifetime:
                del self._reports[sender_id]

    def _parent(self) -> int | None:
        return self._membership.table.ring.parent(self._own_id())

    def _address(self, instance_id: int) -> str:
        return self._membership.table.get(instance_id).address

    def _own_id(self) -> int:
        return self._membership.identity.instance_id


def _add(id_sums: Iterable[int], own_id: int) -> int:
    return (sum(id_sums) + own_id) & _ID_MASK

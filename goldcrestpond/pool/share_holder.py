"""Share of this instance in the connections of one database."""

from datetime import timedelta

import msgspec

from .instance_lease import InstanceLease
from .lease_observer import LeaseObserver
from .share_demand import ShareDemand
from .share_entry import ShareEntry
from .share_limits import ShareLimits
from .share_proposal import ShareProposal
from .share_row import ShareRow
from .share_targets import compute_share_targets

_EMPTY_ENTRY = ShareEntry(share=0, floor=0)


class ShareHolder:
    """Computes this instance's share and the rows that change it.

    A higher share is used only after the row that grants it is known to be written.
    A lower share is applied here before the row that lowers it is sent. After the
    lease has expired, only the floor is used until a write of the row has succeeded:
    that write raises the row's revision, so that a reclaim by another instance that
    is still in flight fails.

    Parameters
    ----------
    instance : str
        Name of this instance.
    limits : ShareLimits
        Limits of the database.
    lease : InstanceLease
        Lease of this instance.
    others : LeaseObserver
        Leases of the other instances.
    """

    __slots__ = (
        "_confirmed",
        "_generation",
        "_instance",
        "_lease",
        "_lowered",
        "_others",
        "_revision",
        "_row",
        "_target",
        "limits",
    )

    def __init__(
        self,
        instance: str,
        limits: ShareLimits,
        lease: InstanceLease,
        others: LeaseObserver,
    ):
        self._instance = instance
        self.limits = limits
        self._lease = lease
        self._others = others
        self._row = ShareRow()
        self._revision = 0
        self._confirmed = _EMPTY_ENTRY
        self._generation = -1
        self._lowered: int | None = None
        self._target: int | None = None

    def observe(self, row: ShareRow, revision: int) -> None:
        """Record the row and its revision that a read returned."""
        if revision < self._revision:
            return
        if revision > self._revision:
            # A write that expects an earlier revision can no longer take effect.
            self._lowered = None
        self._row = row
        self._revision = revision
        self._confirmed = row.entries.get(self._instance, _EMPTY_ENTRY)

    def usable_connections(self, now: timedelta) -> int:
        """Return the number of connections that may be open now."""
        share = self._confirmed.share
        is_held = self._lease.is_held(now)
        if not is_held or self._generation != self._lease.generation:
            share = min(share, self._confirmed.floor)
        limits = [limit for limit in (self._lowered, self._target) if limit is not None]
        return min([share, *limits])

    def usable_report_slots(self) -> int:
        """Return the number of reports that may run at once."""
        return self._confirmed.report_slots

    def propose(
        self,
        demand: ShareDemand,
        listed: frozenset[str],
        now: timedelta,
    ) -> ShareProposal | None:
        """Return the row to write, if a change is needed.

        Parameters
        ----------
        demand : ShareDemand
            Current use and demand of this instance.
        listed : frozenset of str
            Names of the instances in the platform's list.
        now : timedelta
            Monotonic time.

        Returns
        -------
        ShareProposal or None
            Row to be written if the stored row still has the expected revision. Call
            `record_write` afterwards, or read the row again if the write failed.
        """
        if not self._lease.is_held(now):
            return None
        entries = self._without_lapsed_shares(listed)
        entries[self._instance] = self._own_entry(entries, demand)
        if self._is_unchanged(entries):
            return None
        own = entries[self._instance]
        entries[self._instance] = msgspec.structs.replace(own, epoch=own.epoch + 1)
        if own.share < self._confirmed.share:
            # An earlier proposal with an even lower share may still take effect.
            lowered = own.share if self._lowered is None else self._lowered
            self._lowered = min(lowered, own.share)
        return ShareProposal(ShareRow(entries), self._revision, self._lease.generation)

    def record_write(self, proposal: ShareProposal, revision: int) -> None:
        """Record that a proposed row was written with ``revision``."""
        self.observe(proposal.row, revision)
        if self._revision == revision:
            self._generation = proposal.lease_generation

    def release(self) -> ShareProposal | None:
        """Return the row without this instance and stop using connections.

        None if the row has no entry of this instance.
        """
        if self._instance not in self._row.entries:
            return None
        self._lowered = 0
        entries = dict(self._row.entries)
        del entries[self._instance]
        return ShareProposal(ShareRow(entries), self._revision, -1)

    def _is_unchanged(self, entries: dict[str, ShareEntry]) -> bool:
        is_lease_new = self._generation != self._lease.generation
        return entries == self._row.entries and not is_lease_new

    def _without_lapsed_shares(self, listed: frozenset[str]) -> dict[str, ShareEntry]:
        """Return the entries without what other instances can no longer use.

        An instance whose lease has expired keeps its floor; one that has ended keeps
        nothing.
        """
        entries = {}
        for name, entry in self._row.entries.items():
            if name == self._instance:
                entries[name] = entry
            elif self._others.has_ended(name, listed):
                continue
            elif self._others.has_lapsed(name):
                entries[name] = ShareEntry(entry.floor, entry.floor, epoch=entry.epoch)
            else:
                entries[name] = entry
        return entries

    def _own_entry(
        self, entries: dict[str, ShareEntry], demand: ShareDemand
    ) -> ShareEntry:
        """Return this instance's entry with its new demand, share and report slots."""
        limit = self.limits.connection_limit
        own = entries.get(self._instance, _EMPTY_ENTRY)
        own = self._with_floor(own, entries)
        own = msgspec.structs.replace(
            own, demand=_round_up_demand(demand.connection_demand, own.demand)
        )
        entries = entries | {self._instance: own}
        row = ShareRow(entries)
        target = compute_share_targets(entries, self.limits)[self._instance]
        share = own.share
        self._target = None
        if self._is_demanded_by_others(entries) and share > target:
            self._target = target
            share = max(target, own.floor, min(share, demand.in_use))
        elif own.demand > share:
            share += max(0, min(row.free_connections(limit), own.demand - share))
        return msgspec.structs.replace(
            own, share=share, report_slots=self._report_slots(row, own, demand)
        )

    def _with_floor(
        self, own: ShareEntry, entries: dict[str, ShareEntry]
    ) -> ShareEntry:
        if own.floor:
            return own
        free = ShareRow(entries).free_connections(self.limits.connection_limit)
        floor = max(0, min(self.limits.floor, free + own.share))
        return msgspec.structs.replace(own, floor=floor, share=max(own.share, floor))

    def _is_demanded_by_others(self, entries: dict[str, ShareEntry]) -> bool:
        limit = self.limits.connection_limit
        if ShareRow(entries).free_connections(limit) > 0:
            return False
        return any(
            entry.demand > entry.share or not entry.floor
            for name, entry in entries.items()
            if name != self._instance
        )

    def _report_slots(self, row: ShareRow, own: ShareEntry, demand: ShareDemand) -> int:
        if demand.report_demand <= own.report_slots:
            return max(demand.reports_running, demand.report_demand)
        free = max(0, row.free_report_slots(self.limits.report_slot_limit))
        missing = demand.report_demand - own.report_slots
        return own.report_slots + min(free, missing)


def _round_up_demand(demand: int, published: int) -> int:
    """Round the demand up to a power of two, so that small changes need no write.

    The published demand is kept unless the demand exceeds it or has fallen to a
    quarter of it.
    """
    if published // 4 < demand <= published:
        return published
    rounded = 1
    while rounded < demand:
        rounded *= 2
    return rounded if demand else 0

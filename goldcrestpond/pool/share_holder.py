"""Decisions on this instance's share of one database."""

from datetime import timedelta

import msgspec

from .instance_lease import InstanceLease
from .lease_observer import LeaseObserver
from .share_demand import ShareDemand
from .share_entry import ShareEntry
from .share_limits import ShareLimits
from .share_proposal import ShareProposal
from .share_row import ShareRow
from .share_target import share_targets

_NO_SHARE = ShareEntry(share=0, floor=0)


class ShareHolder:
    """Share of one instance in one database's connections.

    A share is used only after the row that grants it is known to be written;
    it is lowered here before the row that lowers it is sent. After a lapse of
    the lease, only the floor is used until a write of the row has succeeded:
    that write defeats any reclaim that is still on its way.

    Parameters
    ----------
    instance : str
        Name of this instance.
    limits : ShareLimits
        Limits of the database.
    lease : InstanceLease
        Lease of this instance.
    others : LeaseObserver
        Leases of the others.
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
        self._confirmed = _NO_SHARE
        self._generation = -1
        self._lowered: int | None = None
        self._target: int | None = None

    def observe(self, row: ShareRow, revision: int) -> None:
        """Take the row as a read has shown it."""
        if revision < self._revision:
            return
        if revision > self._revision:
            # No write with an earlier expected revision can take effect now.
            self._lowered = None
        self._row = row
        self._revision = revision
        self._confirmed = row.entries.get(self._instance, _NO_SHARE)

    def usable_connections(self, now: timedelta) -> int:
        """Return how many connections may be open now."""
        share = self._confirmed.share
        is_held = self._lease.is_held(now)
        if not is_held or self._generation != self._lease.generation:
            share = min(share, self._confirmed.floor)
        bounds = [b for b in (self._lowered, self._target) if b is not None]
        return min([share, *bounds])

    def usable_report_slots(self) -> int:
        """Return how many reports may run at once."""
        return self._confirmed.report_slots

    def propose(
        self,
        demand: ShareDemand,
        listed: frozenset[str],
        now: timedelta,
    ) -> ShareProposal | None:
        """Return a row to write, if one is needed.

        Parameters
        ----------
        demand : ShareDemand
            Use and demand of this instance.
        listed : frozenset of str
            Instances that the platform's list holds.
        now : timedelta
            Monotonic reading.

        Returns
        -------
        ShareProposal or None
            To be written if the row still has the expected revision; report
            ``record_write`` or read the row again.
        """
        if not self._lease.is_held(now):
            return None
        entries = self._without_lapsed(listed)
        entries[self._instance] = self._own_entry(entries, demand)
        if self._is_unchanged(entries):
            return None
        own = entries[self._instance]
        entries[self._instance] = msgspec.structs.replace(own, epoch=own.epoch + 1)
        if own.share < self._confirmed.share:
            # An earlier proposal that lowers further may still take effect.
            earlier = own.share if self._lowered is None else self._lowered
            self._lowered = min(earlier, own.share)
        return ShareProposal(ShareRow(entries), self._revision, self._lease.generation)

    def record_write(self, proposal: ShareProposal, revision: int) -> None:
        """Take the answer that a proposal was written."""
        self.observe(proposal.row, revision)
        if self._revision == revision:
            self._generation = proposal.lease_generation

    def release(self) -> ShareProposal | None:
        """Return the row without this instance, which then uses nothing."""
        if self._instance not in self._row.entries:
            return None
        self._lowered = 0
        entries = dict(self._row.entries)
        del entries[self._instance]
        return ShareProposal(ShareRow(entries), self._revision, -1)

    def _is_unchanged(self, entries: dict[str, ShareEntry]) -> bool:
        is_regained = self._generation != self._lease.generation
        return entries == self._row.entries and not is_regained

    def _without_lapsed(self, listed: frozenset[str]) -> dict[str, ShareEntry]:
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
        limit = self.limits.connection_limit
        own = entries.get(self._instance, _NO_SHARE)
        own = self._with_floor(own, entries)
        own = msgspec.structs.replace(
            own, demand=_rounded(demand.connection_demand, own.demand)
        )
        entries = entries | {self._instance: own}
        row = ShareRow(entries)
        target = share_targets(entries, self.limits)[self._instance]
        share = own.share
        self._target = None
        if self._is_wanted_by_others(entries) and share > target:
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

    def _is_wanted_by_others(self, entries: dict[str, ShareEntry]) -> bool:
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
        connection_demand = demand.report_demand - own.report_slots
        return own.report_slots + min(free, connection_demand)


def _rounded(connection_demand: int, published: int) -> int:
    """Return the demand in powers of two, so that small changes need no write."""
    if published // 4 < connection_demand <= published:
        return published
    step = 1
    while step < connection_demand:
        step *= 2
    return step if connection_demand else 0

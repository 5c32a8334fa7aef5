"""The JSON object that a run prints."""

import msgspec


class LoadResult(msgspec.Struct):
    """Figures of one run.

    Attributes
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of all random choices.
    duration_s : float
        Duration of the load.
    acknowledged, lost, doubled, stale_reads, not_run_but_ran, unknown : int
        Counts of the audit.
    refused : int
        Requests that were reported as not run or found no connection, and reads
        that failed.
    torn, crossed_reads, acknowledged_by_replaced, unrequested : int
        Further counts of the audit; all must be 0.
    reverts : int
        Times that a proxy's configuration went back; must be 0.
    changes_lost_or_doubled : int
        Accepted changes of resources that were not applied, or were applied twice;
        must be 0.
    reads : int
        Number of reads that were answered.
    replica_read_share : float
        Share of these reads that a replica answered.
    failover_gap_ms : float
        Longest time from a failure of the primary to the first acknowledged write
        of the next term; 0 without failures, -1 if a gap was open at the end.
    gaps_ms : list of float
        All failover gaps that ended.
    p50_ms, p99_ms : float
        Latency of acknowledged writes.
    read_p50_ms, read_p99_ms : float
        Latency of reads.
    direct_p50_ms : float
        Latency of single-row writes over a direct connection during this run.
    statements_per_s : float
        Acknowledged writes and answered reads per second.
    refusals : dict of str to int
        Failed requests by the proxy's result number; 0 for other errors.
    details : dict of str to float
        Figures specific to the scenario.
    """

    scenario: str
    seed: int
    duration_s: float
    acknowledged: int
    lost: int
    doubled: int
    stale_reads: int
    not_run_but_ran: int
    unknown: int
    refused: int
    replica_read_share: float
    failover_gap_ms: float
    p50_ms: float
    p99_ms: float
    direct_p50_ms: float
    statements_per_s: float
    torn: int = 0
    crossed_reads: int = 0
    acknowledged_by_replaced: int = 0
    unrequested: int = 0
    reverts: int = 0
    changes_lost_or_doubled: int = 0
    reads: int = 0
    read_p50_ms: float = 0.0
    read_p99_ms: float = 0.0
    gaps_ms: list[float] = []
    refusals: dict[str, int] = {}
    details: dict[str, float] = {}

    @property
    def broken_promises(self) -> int:
        """Sum of the counts that must be 0."""
        return (
            self.lost
            + self.doubled
            + self.stale_reads
            + self.not_run_but_ran
            + self.torn
            + self.crossed_reads
            + self.acknowledged_by_replaced
            + self.unrequested
            + self.reverts
            + self.changes_lost_or_doubled
        )

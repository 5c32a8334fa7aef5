"""The JSON object that a run ends with."""

import msgspec


class LoadResult(msgspec.Struct):
    """Figures of one run.

    Attributes
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of all choices.
    duration_s : float
        Time under load.
    acknowledged, lost, doubled, stale_reads, not_run_but_ran, unknown : int
        Counts of the audit.
    refused : int
        Requests told to be not run, or that found no connection.
    torn, crossed_reads, acknowledged_by_replaced, unrequested : int
        Further counts of the audit; all must be 0.
    reverts : int
        Configurations of a proxy that went back; must be 0.
    changes_lost_or_doubled : int
        Accepted changes of resources without an effect, or with two; must be 0.
    reads : int
        Reads answered.
    replica_read_share : float
        Share of them that a replica answered.
    failover_gap_ms : float
        Longest time without an accepted write around a failure; 0 if none was
        caused, -1 if it did not end within the run.
    gaps_ms : list of float
        All such times.
    p50_ms, p99_ms : float
        Latency of acknowledged writes.
    read_p50_ms, read_p99_ms : float
        Latency of reads.
    direct_p50_ms : float
        Latency of the same kind of write over a direct connection, in this run.
    statements_per_s : float
        Requests answered each second.
    refusals : dict of str to int
        Refusals by the proxy's result number; 0 stands for other errors.
    details : dict of str to float
        Figures of this scenario alone.
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
        """Count of all that must never happen."""
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

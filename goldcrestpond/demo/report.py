"""Formats the result of a demo run for the terminal."""

from ..load.load_result import LoadResult

_OPEN_GAP_MS = -1.0


def render_report(result: LoadResult) -> str:
    """Return a short report of a run in which the primary fails once."""
    return "\n".join(
        [
            f"Load for {result.duration_s:.1f} s through two proxies,"
            " with sessions that roam between them.",
            "",
            f"  writes acknowledged        {result.acknowledged:>8}",
            f"  writes refused as not run  {result.refused:>8}",
            f"  writes of unknown outcome  {result.unknown:>8}",
            f"  reads                      {result.reads:>8}",
            f"  reads served by replicas   {result.replica_read_share:>8.1%}",
            f"  write latency p50, p99     {result.p50_ms:>8.1f} ms,"
            f" {result.p99_ms:.1f} ms",
            f"  failover gap               {_format_gap(result.failover_gap_ms):>8}",
            "",
            "Outcomes reported to callers, compared with the surviving database:",
            "",
            f"  acknowledged and lost      {result.lost:>8}",
            f"  run twice                  {result.doubled:>8}",
            f"  reads older than allowed   {result.stale_reads:>8}",
            f"  refused but run            {result.not_run_but_ran:>8}",
            "",
        ]
    )


def _format_gap(gap_ms: float) -> str:
    if gap_ms == _OPEN_GAP_MS:
        return "not over"
    return f"{gap_ms:.0f} ms"

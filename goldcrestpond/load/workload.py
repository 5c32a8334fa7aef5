"""How callers of a run behave."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Workload:
    """Sessions and their mix of requests.

    Attributes
    ----------
    writer_count : int
        Sessions that write entries and read their own.
    planner_count : int
        Sessions that read the count of entries at a stated age.
    think_ms : float
        Mean pause of a session between two requests.
    write_share : float
        Share of a writer's requests that write.
    transaction_share : float
        Share of its writes that are transactions of several statements.
    roam_share : float
        Share of its requests before which it moves to another proxy.
    tokenless_share : float
        Share of its moves that bring no token.
    max_age_ms : int
        Lowest age that a planner accepts.
    max_age_limit_ms : int
        Highest age that a planner accepts; 0 if all accept the lowest.
    request_timeout_ms : int
        Longest wait of a caller, after which the outcome is unknown to it.
    """

    writer_count: int = 16
    planner_count: int = 4
    think_ms: float = 60.0
    write_share: float = 0.5
    transaction_share: float = 0.2
    roam_share: float = 0.05
    tokenless_share: float = 0.2
    max_age_ms: int = 1000
    max_age_limit_ms: int = 0
    request_timeout_ms: int = 15000

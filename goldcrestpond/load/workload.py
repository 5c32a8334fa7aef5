"""Callers of a run and their mix of requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Workload:
    """Numbers of sessions and their mix of requests.

    Attributes
    ----------
    writer_count : int
        Sessions that write entries and read back their own.
    planner_count : int
        Sessions that read the count of entries with a maximum age.
    think_ms : float
        Mean pause of a session between two requests.
    write_share : float
        Share of a writer's requests that are writes.
    transaction_share : float
        Share of a writer's writes that are transactions of several statements.
    roam_share : float
        Share of requests before which a session moves to a randomly chosen proxy.
    tokenless_share : float
        Share of moves after which the session has no token.
    max_age_ms : int
        Lowest maximum age of a planner.
    max_age_limit_ms : int
        Highest maximum age of a planner; 0 if all planners use ``max_age_ms``.
    request_timeout_ms : int
        Timeout of a request; a write that times out has an unknown outcome.
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

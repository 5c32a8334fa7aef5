"""The faults of a soak: listed in a plan, or drawn at random."""

import random
from collections.abc import Iterator
from pathlib import Path

import msgspec

# Faults of a random series with their weights: of the databases of one service, and
# of instances, the store and single links.
_DATABASE_KINDS = {
    "crash_primary": 5,
    "crash_replica": 3,
    "isolate_replica": 3,
    "cut_primary": 3,
    "cut_candidate": 2,
    "lose_replica": 1,
    "release_primary": 1,
    "release_replica": 1,
    "release_databases": 1,
}
_OTHER_KINDS = {
    "kill_promoter": 4,
    "delay_orders": 3,
    "kill_instance": 2,
    "pause_instance": 2,
    "kill_all_instances": 1,
    "stop_instance": 1,
    "harm_store_link": 1,
    "harm_database_link": 1,
    "stop_store": 1,
    "lose_answers": 1,
}
# Faults that may make an instance order a promotion, or that delay it.
_CAUSES_OF_ORDERS = ("crash_primary", "cut_primary", "delay_orders")
# Their time is that of a drain.
_RELEASES = ("release_primary", "release_replica", "release_databases")
# Part of the faults that are timed by a failover call, so that they fall into the time
# in which a promotion is pending.
_ORDER_SHARE = 0.4
_LONGEST_AFTER_ORDER_S = 0.7
# A joint crash strikes primary and replicas of several services at one moment.
_JOINT_CRASH_SHARE = 0.5
_JOINT_SPREAD_S = 0.3
# Part of the joint crashes that end with a failover call whose instance is killed too.
_PROMOTER_SHARE = 0.7
# Part of the series in which a call gets no answer, and its replica is cut off, so that
# another instance claims the service and can order nothing.
_UNANSWERED_SHARE = 0.3
_SERIES_SPREAD_S = 3.0  # between the first and the last fault of one series
_SHORTEST_PAUSE_S = 6.0
_LONGEST_PAUSE_S = 10.0
_SHORTEST_FAULT_S = 0.8
_LONGEST_FAULT_S = 5.0


class PlannedFault(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One fault.

    Attributes
    ----------
    kind : str
        Name of the fault, a function of `soak_faults` or `database_faults`.
    at_s : float
        Time of its start, in seconds after the start of the load.
    after_order_s : float or None
        If set, it starts this time after the first failover call that follows
        ``at_s``, for its service if it has one.
    service : str
        Service that it strikes; empty for a random one.
    for_s : float or None
        Duration in seconds; None for a random one.
    until_order_s : float or None
        If set, it ends this time after the first failover call that follows its start,
        or after its duration if that is sooner.
    count : int
        Number of instances that it strikes, if it strikes several.
    share : float
        Part of the instances or of the calls that it strikes.
    """

    kind: str
    at_s: float = 0.0
    after_order_s: float | None = None
    service: str = ""
    for_s: float | None = None
    until_order_s: float | None = None
    count: int = 1
    share: float = 0.5

    def duration_s(
        self, rng: random.Random, shortest_s: float, longest_s: float
    ) -> float:
        """Return the duration in seconds; a random one if none is given."""
        return rng.uniform(shortest_s, longest_s) if self.for_s is None else self.for_s


class SoakPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Size and faults of a soak.

    Attributes
    ----------
    name : str
        What the plan is called in reports.
    services : int
        Number of services, of three databases each.
    processes : int or None
        Number of instances; None to leave it to the caller.
    duration_s : float or None
        Duration of the load; None to leave it to the caller.
    promotion_delay_ms : tuple of int
        Shortest and longest time from the execution of a failover call to its effect.
    replication_delay_ms : tuple of int
        Shortest and longest time that a commit takes to reach a replica.
    work_ms : tuple of int
        Shortest and longest time that a database works on a read or write.
    report_share : float
        Part of the callers' operations that are long transactions of reads.
    random_faults : str
        ``series`` for overlapping series of faults of databases and instances,
        ``single`` for single faults, ``none`` for those of the plan alone.
    recovered_share : float
        Part of the callers that must have had a success at the end. Below 1 where
        services may rightly wait for databases whose commits could be lost.
    faults : tuple of PlannedFault
        Faults besides.
    """

    name: str = "random"
    services: int = 3
    processes: int | None = None
    duration_s: float | None = None
    promotion_delay_ms: tuple[int, int] = (600, 1000)
    replication_delay_ms: tuple[int, int] = (1, 15)
    work_ms: tuple[int, int] = (0, 0)
    report_share: float = 0.05
    random_faults: str = "series"
    recovered_share: float = 0.25
    faults: tuple[PlannedFault, ...] = ()


# Single faults of one service, of the kinds that the product is known to bear.
SINGLE_FAULT_PLAN = SoakPlan(
    name="single", services=1, random_faults="single", recovered_share=1.0
)


def load_plan(path: str) -> SoakPlan:
    """Read a plan in TOML.

    Raises
    ------
    OSError, msgspec.DecodeError
        If the file can't be read, or isn't a plan.
    """
    return msgspec.toml.decode(Path(path).read_bytes(), type=SoakPlan)


def draw_series(
    rng: random.Random, duration_s: float, services: list[str]
) -> Iterator[PlannedFault]:
    """Draw overlapping series of faults that start within ``duration_s``."""
    start_s = rng.uniform(1, 3)
    while start_s < duration_s:
        struck = rng.sample(services, rng.randint(1, len(services)))
        if rng.random() < _JOINT_CRASH_SHARE:
            yield from _draw_joint_crash(rng, start_s, struck)
        if rng.random() < _UNANSWERED_SHARE:
            yield from _draw_unanswered_order(rng, start_s, rng.choice(struck))
        for service in struck:
            for kind in _draw_kinds(rng, _DATABASE_KINDS, 1, 2):
                yield _draw_fault(rng, kind, start_s, service)
        for kind in _draw_kinds(rng, _OTHER_KINDS, 0, 2):
            yield _draw_fault(rng, kind, start_s, rng.choice(struck))
        start_s += rng.uniform(_SHORTEST_PAUSE_S, _LONGEST_PAUSE_S)


def _draw_joint_crash(
    rng: random.Random, start_s: float, services: list[str]
) -> Iterator[PlannedFault]:
    for_s = rng.uniform(_SHORTEST_FAULT_S, _LONGEST_FAULT_S)
    until_order_s = _draw_after_order_s(rng)
    for service in services:
        for kind in ("crash_primary", "crash_replica"):
            yield PlannedFault(
                kind=kind,
                at_s=start_s + rng.uniform(0, _JOINT_SPREAD_S),
                service=service,
                for_s=for_s + rng.uniform(0, _JOINT_SPREAD_S),
                until_order_s=until_order_s,
            )
    if until_order_s is not None and rng.random() < _PROMOTER_SHARE:
        yield PlannedFault(
            kind="kill_promoter",
            at_s=start_s,
            after_order_s=until_order_s + rng.uniform(0, _JOINT_SPREAD_S),
            service=rng.choice(services),
            for_s=rng.uniform(_SHORTEST_FAULT_S, _LONGEST_FAULT_S),
        )


def _draw_unanswered_order(
    rng: random.Random, start_s: float, service: str
) -> Iterator[PlannedFault]:
    draw_s = rng.uniform
    yield PlannedFault(kind="delay_orders", at_s=start_s, share=1.0, for_s=5.5)
    faults = [
        PlannedFault(kind="crash_primary", for_s=draw_s(3.5, _LONGEST_FAULT_S)),
        PlannedFault(
            kind="cut_candidate",
            after_order_s=draw_s(0, 1.5),
            share=1.0,
            for_s=draw_s(3.5, _LONGEST_FAULT_S),
        ),
        PlannedFault(
            kind="kill_promoter",
            after_order_s=draw_s(0, 1.5),
            for_s=draw_s(2.5, _LONGEST_FAULT_S),
        ),
    ]
    for fault in faults:
        yield msgspec.structs.replace(fault, at_s=start_s + 0.2, service=service)


def _draw_kinds(
    rng: random.Random, kinds: dict[str, int], fewest: int, most: int
) -> list[str]:
    count = rng.randint(fewest, most)
    return rng.choices(list(kinds), list(kinds.values()), k=count)


def _draw_fault(
    rng: random.Random, kind: str, start_s: float, service: str
) -> PlannedFault:
    for_s = rng.uniform(_SHORTEST_FAULT_S, _LONGEST_FAULT_S)
    after_order_s = _draw_after_order_s(rng)
    if kind == "kill_promoter":
        after_order_s = rng.uniform(0, _LONGEST_AFTER_ORDER_S)
    return PlannedFault(
        kind=kind,
        at_s=start_s + rng.uniform(0, _SERIES_SPREAD_S),
        after_order_s=None if kind in _CAUSES_OF_ORDERS else after_order_s,
        service=service,
        for_s=None if kind in _RELEASES else for_s,
        count=rng.randint(1, 2),
        share=rng.uniform(0.3, 0.7),
    )


def _draw_after_order_s(rng: random.Random) -> float | None:
    if rng.random() >= _ORDER_SHARE:
        return None
    return rng.uniform(0, _LONGEST_AFTER_ORDER_S)

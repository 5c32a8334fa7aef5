"""Whether an instance relays a request or opens an own connection.

Each policy is a function that takes the group of the next request and says how
to reach it. ``OPEN`` means to open a connection, closing one in its place if
all are in use; the groups with a connection afterwards are up to the policy.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable

from .access import Access

AccessPolicy = Callable[[str], Access]


def always_relay() -> AccessPolicy:
    """Return a policy that never opens a connection."""
    return lambda group: Access.RELAY


def always_open(capacity: int) -> AccessPolicy:
    """Return a policy that opens at each miss and closes the least recent."""
    return open_after(1, capacity)


def open_after(threshold: int, capacity: int) -> AccessPolicy:
    """Return a policy that opens at the n-th request since the last close.

    Parameters
    ----------
    threshold : int
        Requests for a group until a connection is opened.
    capacity : int
        Groups that the instance may have connections to; the least recently
        used one is closed.
    """
    recent: dict[str, None] = {}
    counts: Counter[str] = Counter()

    def choose(group: str) -> Access:
        if group in recent:
            recent[group] = recent.pop(group)
            return Access.OWN
        counts[group] += 1
        if counts[group] < threshold:
            return Access.RELAY
        del counts[group]
        if len(recent) >= capacity:
            del recent[next(iter(recent))]
        recent[group] = None
        return Access.OPEN

    return choose


def retrospective(cost_ratio: int, capacity: int) -> AccessPolicy:
    """Return the RED/LED policy.

    A group is opened once, over some past stretch, it had ``2 * cost_ratio``
    more requests than one of the groups with a connection; the group whose last
    ``2 * cost_ratio`` requests reach back furthest is closed.

    Parameters
    ----------
    cost_ratio : int
        Cost of opening a connection over that of relaying one request.
    capacity : int
        Groups that the instance may have connections to.
    """
    lead_limit = 2 * cost_ratio
    leads: dict[str, dict[str, int]] = {}
    times: defaultdict[str, deque[int]] = defaultdict(
        lambda: deque([0] * lead_limit, maxlen=lead_limit)
    )
    clock = 0

    def choose(group: str) -> Access:
        nonlocal clock
        clock += 1
        times[group].append(clock)
        if group in leads:
            _lower(leads[group])
            return Access.OWN
        if len(leads) < capacity:
            leads[group] = {}
            return Access.OPEN
        if not _raise_leads(leads, group, lead_limit):
            return Access.RELAY
        closed = min(leads, key=lambda held: times[held][0])
        del leads[closed]
        for behind in leads.values():
            behind.pop(group, None)
        leads[group] = {}
        return Access.OPEN

    return choose


def _lower(behind: dict[str, int]) -> None:
    for other in list(behind):
        behind[other] -= 1
        if behind[other] == 0:
            del behind[other]


def _raise_leads(leads: dict[str, dict[str, int]], group: str, limit: int) -> bool:
    reached = False
    for behind in leads.values():
        lead = behind.get(group, 0) + 1
        behind[group] = lead
        reached |= lead >= limit
    return reached

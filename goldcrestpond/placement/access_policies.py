"""Policies for relaying a request or opening a connection for it.

A policy is a function that takes the group of the next request and returns how to
reach it. It keeps track of the groups that have a connection: if it returns
``OPEN`` at full capacity, it has also chosen another group whose connection is
closed.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable

from .access import Access

AccessPolicy = Callable[[str], Access]


def always_relay() -> AccessPolicy:
    """Return a policy that never opens a connection."""
    return lambda group: Access.RELAY


def always_open(capacity: int) -> AccessPolicy:
    """Return a policy that opens at each request without a connection.

    At full capacity it closes the connection of the least recently used group.
    """
    return open_after(1, capacity)


def open_after(threshold: int, capacity: int) -> AccessPolicy:
    """Return a policy that opens after repeated requests for a group.

    Requests are counted while the group has no connection, from 0 after each close.

    Parameters
    ----------
    threshold : int
        Number of the request for a group that opens a connection.
    capacity : int
        Number of groups that the instance may have connections to; the least
        recently used one is closed.
    """
    connected: dict[str, None] = {}  # least recently used first
    request_counts: Counter[str] = Counter()

    def choose(group: str) -> Access:
        if group in connected:
            connected[group] = connected.pop(group)
            return Access.OWN
        request_counts[group] += 1
        if request_counts[group] < threshold:
            return Access.RELAY
        del request_counts[group]
        if len(connected) >= capacity:
            del connected[next(iter(connected))]
        connected[group] = None
        return Access.OPEN

    return choose


def retrospective(cost_ratio: int, capacity: int) -> AccessPolicy:
    """Return the policy "retrospective download, least requested deletion" (RED/LED).

    A connection to a group is opened once the group had, over some past interval,
    ``2 * cost_ratio`` more requests than one of the connected groups. The connected
    group whose last ``2 * cost_ratio`` requests reach back furthest is closed.

    Parameters
    ----------
    cost_ratio : int
        Cost of opening a connection divided by that of relaying one request.
    capacity : int
        Number of groups that the instance may have connections to.
    """
    lead_threshold = 2 * cost_ratio
    # For each connected group, by how many requests other groups lead it.
    leads: dict[str, dict[str, int]] = {}
    request_numbers: defaultdict[str, deque[int]] = defaultdict(
        lambda: deque([0] * lead_threshold, maxlen=lead_threshold)
    )
    request_count = 0

    def choose(group: str) -> Access:
        nonlocal request_count
        request_count += 1
        request_numbers[group].append(request_count)
        if group in leads:
            _decrement_leads(leads[group])
            return Access.OWN
        if len(leads) < capacity:
            leads[group] = {}
            return Access.OPEN
        if not _increment_leads(leads, group, lead_threshold):
            return Access.RELAY
        evicted = min(leads, key=lambda connected: request_numbers[connected][0])
        del leads[evicted]
        for leads_over_group in leads.values():
            leads_over_group.pop(group, None)
        leads[group] = {}
        return Access.OPEN

    return choose


def _decrement_leads(leads_over_group: dict[str, int]) -> None:
    for other in list(leads_over_group):
        leads_over_group[other] -= 1
        if leads_over_group[other] == 0:
            del leads_over_group[other]


def _increment_leads(
    leads: dict[str, dict[str, int]], group: str, threshold: int
) -> bool:
    """Count a request of ``group``; return whether a lead reached the threshold."""
    is_reached = False
    for leads_over_group in leads.values():
        lead = leads_over_group.get(group, 0) + 1
        leads_over_group[group] = lead
        is_reached |= lead >= threshold
    return is_reached

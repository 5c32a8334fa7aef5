"""Periods and limits of the membership protocol."""

from datetime import timedelta

import msgspec


def _ms(value: int) -> timedelta:
    return timedelta(milliseconds=value)


class MembershipSettings(msgspec.Struct, frozen=True):
    """Periods and limits; all instances of a fleet use the same.

    All members know of a death after about the sum of two probe periods, the
    probe deadline, the suspicion timeout and the time in which one update spreads.

    Attributes
    ----------
    probe_period : timedelta
        Interval between two probes. They go alternately to the next instance
        on the ring and to a random one.
    probe_repeat_after : timedelta
        Time after which an unanswered probe is sent a second time.
    probe_relay_after : timedelta
        Time after which helpers are asked to probe the target too.
    probe_deadline : timedelta
        Time after which an unanswered probe makes its target suspect.
    helper_count : int
        Number of helpers that are asked for one unanswered probe.
    suspicion_timeout : timedelta
        Time within which a suspect must refute before it is declared dead.
    suspect_probe_period : timedelta
        Interval between probes of a suspect by members whose own probes of it
        timed out.
    heard_suspicion_timeout : timedelta
        Time after which a member that learned of a suspicion from others probes
        the suspect itself; a random part of up to the same time is added.
    contact_period : timedelta
        Interval between contacts to dead instances and to seeds.
    sync_period : timedelta
        Minimum interval between two requests to compare whole tables.
    join_limit : timedelta
        How long a new member that knows of other instances waits to join them
        before it counts as a fleet of its own.
    tombstone_lifetime : timedelta
        How long a dead or left instance is remembered.
    pause_limit : timedelta
        A longer gap between two ticks means that this process was paused. It
        then discards its outstanding probes and restarts its suspicion
        timeouts, since answers may not have been read.
    eager_fanout : int
        Number of members that a new update is sent to at once.
    updates_per_probe : int
        Maximum number of updates in a probe or its answer.
    updates_per_gossip : int
        Maximum number of updates in one gossip datagram.
    gossip_bytes_per_s : int
        Rate limit of gossip, of corrections, of answers to sync requests and of
        probes of senders that are presumed dead.
    gossip_burst_bytes : int
        Capacity of the token bucket behind that limit.
    """

    probe_period: timedelta = _ms(200)
    probe_repeat_after: timedelta = _ms(125)
    probe_relay_after: timedelta = _ms(250)
    probe_deadline: timedelta = _ms(500)
    helper_count: int = 4
    suspicion_timeout: timedelta = _ms(500)
    suspect_probe_period: timedelta = _ms(100)
    heard_suspicion_timeout: timedelta = _ms(1500)
    contact_period: timedelta = _ms(1000)
    sync_period: timedelta = _ms(2000)
    join_limit: timedelta = _ms(5000)
    tombstone_lifetime: timedelta = _ms(600_000)
    pause_limit: timedelta = _ms(500)
    eager_fanout: int = 4
    updates_per_probe: int = 6
    updates_per_gossip: int = 14
    gossip_bytes_per_s: int = 8_000
    gossip_burst_bytes: int = 24_000

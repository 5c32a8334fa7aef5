"""Periods and limits of the membership protocol."""

from datetime import timedelta

import msgspec


def _ms(value: int) -> timedelta:
    return timedelta(milliseconds=value)


class MembershipSettings(msgspec.Struct, frozen=True):
    """Periods and limits; all instances of a fleet use the same.

    A death is known to all after at most two probe periods, the probe's
    deadline, the suspicion and the spread of one update.

    Attributes
    ----------
    probe_period : timedelta
        Pause between two probes; probes go in turn to the next instance on the
        ring and to a random one.
    probe_repeat_after : timedelta
        When an unanswered probe is sent a second time.
    probe_relay_after : timedelta
        When helpers are asked to probe instead.
    probe_deadline : timedelta
        When an unanswered probe makes its target suspect.
    helper_count : int
        Helpers asked for one unanswered probe.
    suspicion_timeout : timedelta
        Time that a suspect has to refute.
    suspect_probe_period : timedelta
        Pause between probes of a suspect by those who found it silent.
    heard_suspicion_timeout : timedelta
        When a member that only heard of a suspicion probes the suspect itself;
        up to the same time again is added at random.
    contact_period : timedelta
        Pause between contacts to dead instances and to seeds.
    sync_period : timedelta
        Shortest pause between two comparisons of the whole table.
    join_limit : timedelta
        How long a new member that knows of others waits to be one of them before
        it counts itself as a fleet of its own.
    tombstone_lifetime : timedelta
        How long a dead or left instance is remembered.
    pause_limit : timedelta
        A longer gap between two ticks means that this process slept; it then
        holds nobody's silence against them.
    eager_fanout : int
        Members told of a new update at once.
    updates_per_probe : int
        Updates that ride on a probe or on its answer.
    updates_per_gossip : int
        Updates in one gossip datagram.
    gossip_bytes_per_s : int
        Budget of gossip and of answers to comparisons.
    gossip_burst_bytes : int
        Unused budget that may add up.
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

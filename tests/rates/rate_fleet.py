"""A small fleet of meters that see one members' table late, for model tests."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.rates.charge import Charge
from goldcrestpond.rates.handover import Handover
from goldcrestpond.rates.organisation_rate import MAIN_RESERVE_FRACTION
from goldcrestpond.rates.rate_bound import RateBound
from goldcrestpond.rates.rate_meter import RateMeter
from goldcrestpond.rates.rate_role import RateRole
from goldcrestpond.serving.organisation import Organisation

ORGANISATION = "mill"
PROOF_LIMIT_MS = 2000
WINDOW_MS = 3000
BOUND = RateBound(timedelta(milliseconds=WINDOW_MS), 0.1, 8)
INSTANCE_COUNT = 4
TICK_MS = 100
# Clocks of instances count from when their machines started.
_CLOCK_OFFSET_MS = 1_000_000_000
_REFUSALS = (ResultCode.RATE_EXCEEDED, ResultCode.IDENTITY_UNPROVEN)


class SilentLog:
    """Counts log events."""

    def __init__(self):
        self.events = Counter()

    def decision(self, event, **fields):
        self.events[event] += 1


@dataclass(frozen=True)
class TableState:
    """Homes and standby of the organisation from a time on."""

    begins_at_ms: int
    homes: tuple[int, ...] = ()
    standby: int | None = None

    def role(self, instance):
        is_home = instance in self.homes
        main_share = 1 / len(self.homes) if is_home else 0
        return RateRole(main_share, 1 if instance == self.standby else 0)


@dataclass
class Run:
    """Charges and changes of the limit in one run."""

    # Times of charges of the main share and of the reserve.
    main_ms: list[int] = field(default_factory=list)
    reserve_ms: list[int] = field(default_factory=list)
    # Time from which every instance applies a limit of (rate, burst).
    limits: list[tuple[int, float, float]] = field(default_factory=list)


class MeteredInstance:
    """One process, its copy of the table, and its meter."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.is_cut = False
        self.lag_ms = 0
        self.is_flooded = False
        self.frozen_until_ms = 0
        self.log = SilentLog()
        self.charges: list[Charge] = []
        self.seen_count = 0
        self.confirmed_ms = None
        self.meter = RateMeter(
            BOUND,
            timedelta(milliseconds=PROOF_LIMIT_MS),
            self._is_proven,
            self.log,
            self._read_age,
            self._read_version,
            started_at=self.now,
        )
        self.meter.set_limits(fleet.organisations, self.now)

    @property
    def now(self):
        offset_ms = _CLOCK_OFFSET_MS * self.index
        return timedelta(milliseconds=self.fleet.now_ms + offset_ms)

    @property
    def is_frozen(self):
        return self.fleet.now_ms < self.frozen_until_ms

    def read_table(self, as_of_ms, is_complete):
        """Take over the table as of a time; return the handovers to send."""
        if self.confirmed_ms is not None and as_of_ms <= self.confirmed_ms:
            return []
        states = self.fleet.states
        known_count = sum(s.begins_at_ms <= as_of_ms for s in states)
        is_first = self.confirmed_ms is None
        self.confirmed_ms = as_of_ms
        first = self.seen_count if is_complete and not is_first else known_count - 1
        new = range(max(first, self.seen_count), known_count)
        for version in new:
            role = states[version].role(self.index)
            is_resumed = self.fleet.has_held(self.index, role)
            self.meter.set_roles(
                {ORGANISATION: role}, self.now, (1, version), is_resumed
            )
        self.seen_count = known_count
        if self.index in states[known_count - 1].homes or not new:
            return []
        return self.meter.release([ORGANISATION], self.now)

    def run_one(self):
        """Charge an operation that runs at once; return whether it was admitted."""
        try:
            reserve_count = self.meter.reserve_spent_count
            charge = self.meter.charge(ORGANISATION, False, self.now)
        except CodedError as error:
            assert error.code in _REFUSALS
            return False
        run = self.fleet.run
        is_main = self.meter.reserve_spent_count == reserve_count
        times_ms = run.main_ms if is_main else run.reserve_ms
        self.charges.append((charge, times_ms, self.fleet.now_ms))
        times_ms.append(self.fleet.now_ms)
        return True

    def refund(self, count, is_newest):
        """Refund the newest or oldest operations, as if found not to have run."""
        for _ in range(min(count, len(self.charges))):
            charge, times_ms, charged_ms = self.charges.pop(-1 if is_newest else 0)
            self.meter.refund(charge, self.now)
            times_ms.remove(charged_ms)

    def _read_age(self):
        if self.confirmed_ms is None:
            return None
        return timedelta(milliseconds=self.fleet.now_ms - self.confirmed_ms)

    def _read_version(self):
        return 1, self.seen_count

    def _is_proven(self):
        age = self._read_age()
        return age is not None and age <= timedelta(milliseconds=PROOF_LIMIT_MS)


class RateFleet:
    """Meters, the table that they read late, and handovers under way."""

    def __init__(self, is_complete=True, rate_per_s=10, burst=6):
        self.is_complete = is_complete
        self.now_ms = 0
        self.states = [TableState(0)]
        self.run = Run()
        self.handovers: list[tuple[int, Handover]] = []
        self.changeable_from_ms = 0
        self.set_limit(rate_per_s, burst)
        self.instances = [MeteredInstance(self, i) for i in range(INSTANCE_COUNT)]

    def set_limit(self, rate_per_s, burst):
        organisation = Organisation(ORGANISATION, 1, rate_per_s, burst)
        self.organisations = {ORGANISATION: organisation}
        self.run.limits.append((self.now_ms, rate_per_s, burst))
        for instance in getattr(self, "instances", ()):
            instance.meter.set_limits(self.organisations, instance.now)

    def has_held(self, index, role):
        """Whether the table gave an instance this role for the proof limit."""
        since_ms = self.now_ms - PROOF_LIMIT_MS
        ends_ms = [s.begins_at_ms for s in self.states[1:]] + [self.now_ms + 1]
        spans = zip(self.states, ends_ms, strict=True)
        recent = [state for state, end_ms in spans if end_ms >= since_ms]
        return since_ms >= 0 and all(s.role(index) == role for s in recent)

    def change_table(self, homes, standby):
        """Give the organisation other homes, if the table may change now."""
        if not self.is_complete and self.now_ms < self.changeable_from_ms:
            return
        self.changeable_from_ms = self.now_ms + 3 * PROOF_LIMIT_MS
        self.states.append(TableState(self.now_ms, homes, standby))

    def flap_table(self, homes, standby, length_ms):
        """Give it other homes for a short time."""
        if not self.is_complete and self.now_ms < self.changeable_from_ms:
            return
        former = self.states[-1]
        self.states.append(TableState(self.now_ms, homes, standby))
        self.advance(length_ms)
        self.states.append(TableState(self.now_ms, former.homes, former.standby))
        self.changeable_from_ms = self.now_ms + 3 * PROOF_LIMIT_MS

    def read_table(self, index, lag_ms):
        """Let an instance read the table as it was some time ago."""
        instance = self.instances[index]
        if instance.is_frozen:
            return
        as_of_ms = max(0, self.now_ms - lag_ms)
        for handover in instance.read_table(as_of_ms, self.is_complete):
            for home in self.states[instance.seen_count - 1].homes[:1]:
                self.handovers.append((home, handover))

    def deliver(self, position, is_kept):
        """Deliver a handover that is under way; it may be delivered again."""
        if not self.handovers:
            return
        position %= len(self.handovers)
        home, handover = self.handovers[position]
        instance = self.instances[home]
        if not instance.is_frozen:
            instance.meter.accept([handover], instance.now)
            if not is_kept:
                del self.handovers[position]

    def restart(self, index):
        former = self.instances[index]
        restarted = self.instances[index] = MeteredInstance(self, index)
        restarted.is_flooded, restarted.lag_ms = former.is_flooded, former.lag_ms

    def advance(self, span_ms):
        """Let time pass; flooded instances run all that they may."""
        end_ms = self.now_ms + span_ms
        while self.now_ms < end_ms:
            self.now_ms = min(self.now_ms + TICK_MS, end_ms)
            for index, instance in enumerate(self.instances):
                if instance.is_frozen:
                    continue
                if not instance.is_cut:
                    self.read_table(index, instance.lag_ms)
                instance.meter.observe(instance.now)
                while instance.is_flooded and instance.run_one():
                    pass

    def excess(self):
        """Return by how much some window exceeds its part of the bound, at most.

        The parts of the main share and of the reserve add up to the bound.
        """
        run = self.run
        everything = run.main_ms + run.reserve_ms
        return max(
            self._excess(run.main_ms, _main_part),
            self._excess(run.reserve_ms, _reserve_part),
            self._excess(everything, _bound),
        )

    def _excess(self, charged_ms, part):
        worst = float("-inf")
        charged_ms = sorted(charged_ms)
        last = 0
        for first, begins_ms in enumerate(charged_ms):
            ends_ms = begins_ms + WINDOW_MS
            while last < len(charged_ms) and charged_ms[last] <= ends_ms:
                last += 1
            worst = max(worst, last - first - part(*self._highest_limit(begins_ms)))
        return worst

    def _highest_limit(self, begins_ms):
        """Return the highest rate and burst that were in force in a window."""
        limits = self.run.limits
        ends_ms = [limit[0] for limit in limits[1:]] + [self.now_ms + 1]
        in_force = [
            (rate, burst)
            for (start_ms, rate, burst), end_ms in zip(limits, ends_ms, strict=True)
            if start_ms <= begins_ms + WINDOW_MS and end_ms >= begins_ms
        ]
        return max(rate for rate, _ in in_force), max(burst for _, burst in in_force)


def _bound(rate, burst):
    allowed = rate * WINDOW_MS / 1000 + burst
    return allowed * (1 + BOUND.overage_fraction) + BOUND.slack_count


def _main_part(rate, burst):
    reserve = BOUND.reserve_count(rate, burst)
    return rate * WINDOW_MS / 1000 + burst + MAIN_RESERVE_FRACTION * reserve


def _reserve_part(rate, burst):
    return (1 - MAIN_RESERVE_FRACTION) * BOUND.reserve_count(rate, burst)

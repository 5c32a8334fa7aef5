"""Counts the operations of organisations against their rates at one instance."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NoReturn

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..serving.decision_log import DecisionLog
from ..serving.organisation import Organisation
from .charge import Charge
from .handover import Handover, TableVersion
from .never import NEVER
from .organisation_rate import OrganisationRate
from .rate_bound import RateBound
from .rate_role import RateRole
from .refusal_count import RefusalCount

_MILLISECOND = timedelta(milliseconds=1)
_NO_ROLE = RateRole()
# Shares that begin or end are logged when they are spent or at most this much later.
SETTLE_INTERVAL = timedelta(milliseconds=100)
# Organisations that one log line names.
LOGGED_NAMES_LIMIT_COUNT = 5


class RateMeter:
    """What this instance may spend of the organisations' rates, and has spent.

    The rules, and why they bound the sum over all instances, are in
    ``docs/design/rates.md``. The time passed must include suspension of the machine
    and be read after the call's other inputs were received.

    Parameters
    ----------
    bound : RateBound
        What must hold in any window.
    proof_limit : timedelta
        Greatest age of the configuration and of the members' table by which anybody
        spends; the same at all instances.
    is_proven : callable
        Returns whether both may be believed, if that needs more than their age.
    log : DecisionLog
        Receives log events.
    read_age : callable
        Returns the greater of their ages; None if unknown. Roles and limits of newer
        tables must be set in the step in which the age falls.
    read_version : callable
        Returns the state of the tables, which differs after each change of a row, and
        after the tables were read as a whole; None if unknown. If it is the same after
        the tables were too old, shares go on at once.
    started_at : timedelta or None, default=None
        When this process started, if known. A share that an earlier run of it spent
        has earned since then what nobody has spent.
    lowering_delay : timedelta, default=0
        After which a lower limit is applied: callers are owed the former one until the
        change must be in force.

    Attributes
    ----------
    refused_count : int
        Operations that were refused because of a rate.
    unproven_count : int
        Operations that were refused because this instance might not spend the rate.
    reserve_spent_count : int
        Operations that were taken from a reserve.
    """

    __slots__ = (
        "_bound",
        "_changing",
        "_has_lapsed",
        "_is_proven",
        "_log",
        "_lowering_delay",
        "_pending",
        "_proof_limit",
        "_rates",
        "_read_age",
        "_read_version",
        "_roles",
        "_seen_until",
        "_seen_version",
        "_settled_at",
        "_started_at",
        "_unknown_refusals",
        "_version",
        "refused_count",
        "reserve_spent_count",
        "unproven_count",
    )

    def __init__(
        self,
        bound: RateBound,
        proof_limit: timedelta,
        is_proven: Callable[[], bool],
        log: DecisionLog,
        read_age: Callable[[], timedelta | None],
        read_version: Callable[[], TableVersion | None] = lambda: None,
        lowering_delay: timedelta = timedelta(0),
        started_at: timedelta | None = None,
    ):
        self._started_at = started_at
        self._bound = bound
        self._lowering_delay = lowering_delay
        self._proof_limit = proof_limit
        self._is_proven = is_proven
        self._log = log
        self._read_age = read_age
        self._read_version = read_version
        self._rates: dict[str, OrganisationRate] = {}
        self._roles: Mapping[str, RateRole] | None = None
        self._version: TableVersion | None = None
        # Handovers that arrived before the role, with the time until they are kept.
        self._pending: dict[str, tuple[Handover, timedelta]] = {}
        # Organisations whose shares depend on the time, with those last logged.
        self._changing: dict[str, tuple[float, float]] = {}
        self._settled_at = NEVER
        # Time as of which the tables in force were last known to be complete.
        self._seen_until = NEVER
        self._has_lapsed = False
        # The tables as of then; None if unknown.
        self._seen_version: TableVersion | None = None
        self._unknown_refusals = RefusalCount()
        self.refused_count = 0
        self.unproven_count = 0
        self.reserve_spent_count = 0

    def gauges(self) -> dict[str, float]:
        """Return values for the metrics."""
        return {
            "rate_organisations": sum(r.is_limited for r in self._rates.values()),
            "rate_shares": sum(r.main.share > 0 for r in self._rates.values()),
            "rate_refused": self.refused_count,
            "rate_unproven": self.unproven_count,
            "rate_reserve_spent": self.reserve_spent_count,
        }

    def set_limits(
        self, organisations: Mapping[str, Organisation], now: timedelta
    ) -> None:
        """Set all known organisations by name; those not named are forgotten.

        Parameters
        ----------
        organisations : mapping of str to Organisation
            Organisations of the configuration in force. One without a limit is known
            but not counted.
        now : timedelta
            Current time.
        """
        for name in self._rates.keys() - organisations.keys():
            del self._rates[name]
            self._changing.pop(name, None)
            self._pending.pop(name, None)
        roles = self._roles or {}
        for name, organisation in organisations.items():
            rate = self._rates.get(name)
            if rate is None:
                rate = self._rates[name] = OrganisationRate()
                role = roles.get(name, _NO_ROLE)
                self._set_role(name, rate, role, self._seen_until, now)
            rate.set_limit(organisation, self._bound, now, self._lowering_delay)

    def set_roles(
        self,
        roles: Mapping[str, RateRole],
        now: timedelta,
        version: TableVersion | None = None,
        is_resumed: bool = False,
    ) -> None:
        """Set the roles by a new state of the members' table.

        To be called for each state that changes a role, in the step in which the age
        of the tables falls. The states of one answer are all set before anything else
        is called. A higher share is spent ``proof_limit`` after the call. A lower one
        holds as soon as the former state is ``proof_limit`` old, or at `release`.

        Parameters
        ----------
        roles : mapping of str to RateRole
            This instance's roles by organisation; those not named have none.
        now : timedelta
            Current time.
        version : tuple of int or None
            The state of the table. Without it no handover is made or accepted.
        is_resumed : bool, default=False
            Whether the table gave these roles to this instance for at least
            ``proof_limit``, and an earlier run of it spent them. Counts in the first
            call only, for the organisations that `set_limits` named before; their
            shares then begin at once, with what they have earned since the start of
            this process.
        """
        after = self._seen_until
        is_resumed = is_resumed and self._roles is None
        self._roles = dict(roles)
        self._version = version
        for name, rate in self._rates.items():
            role = roles.get(name, _NO_ROLE)
            self._set_role(name, rate, role, after, now)
            if is_resumed:
                self._note_changing(name, rate)
                if role.main_share > 0:
                    rate.main.resume(role.main_share, self._idle_since(now), now)
                rate.reserve.history.begin(role.standby_share)

    def _idle_since(self, now: timedelta) -> timedelta:
        """Return since when no run of this process has spent anything, for sure."""
        if self._started_at is None:
            return now
        return max(self._started_at, now - self._proof_limit)

    def observe(self, now: timedelta) -> None:
        """Note the age of the tables, and begin and end shares.

        To be called at least a few times in ``proof_limit``: after a longer pause it
        is unknown whether the tables were too old, and the shares begin anew.
        """
        if self._observe(now):
            self._settle(now)

    def charge(self, organisation: str, is_standby: bool, now: timedelta) -> Charge:
        """Count an operation, to be called between its arrival and its sending.

        Parameters
        ----------
        organisation : str
            Name of the organisation.
        is_standby : bool
            Whether the requester takes this instance for the standby; only logged.
        now : timedelta
            Current time.

        Returns
        -------
        Charge
            For `refund`.

        Raises
        ------
        CodedError
            RATE_EXCEEDED if there is no token; IDENTITY_UNPROVEN if the tables are too
            old, or the organisation is unknown, or this instance has no share of it
            that has begun. With the delay after which to retry.
        """
        rate = self._rates.get(organisation)
        if rate is None:
            self._refuse_unknown(organisation, now)
        if not self._observe(now):
            self._refuse(organisation, rate, is_standby, now, "tables too old")
        rate.apply_lower_limit(self._bound, now)
        if not rate.is_limited:
            return Charge(organisation, now, None)
        if organisation in self._changing:
            is_due = now - self._settled_at >= SETTLE_INTERVAL
            if is_due or organisation in self._pending:
                self._settle(now)
            else:
                rate.settle(*self._bounds(now), now)
        if rate.main.take(now):
            return Charge(organisation, now, rate.main)
        if rate.reserve.take(now):
            self.reserve_spent_count += 1
            return Charge(organisation, now, rate.reserve)
        if rate.main.share or rate.reserve.share:
            self._refuse(organisation, rate, is_standby, now, "")
        has_role = rate.main.history.current or rate.reserve.history.current
        reason = "share not begun" if has_role else "no share"
        self._refuse(organisation, rate, is_standby, now, reason)

    def refund(self, charge: Charge, now: timedelta) -> None:
        """Take back the charge of an operation that certainly did not run.

        Nothing is given back if the charge is some seconds old, or if the token would
        have been lost meanwhile because there were as many as there may be. A charge
        is taken back once.
        """
        if charge.pot is not None:
            charge.pot.refund(charge.charged_at, now)
            charge.pot = None

    def release(self, organisations: Iterable[str], now: timedelta) -> list[Handover]:
        """Stop to spend the main shares of organisations.

        To be called after `set_roles` took them away. Whoever is home by that state of
        the table may `accept` the result.

        Returns
        -------
        list of Handover
            One for each share that this instance could still spend.
        """
        is_proven = self._observe(now)
        handovers = []
        for name in organisations:
            rate = self._rates.get(name)
            if rate is None:
                continue
            rate.settle(*self._bounds(now), now)
            share, kept_by_table = rate.main.share, rate.main.history.current
            self._note_changing(name, rate)
            millionths = rate.main.stop(now)
            may_hand_over = is_proven and share > 0 and not kept_by_table
            if may_hand_over and rate.is_limited and self._version is not None:
                handovers.append(Handover(name, share, millionths, self._version))
        if handovers:
            self._log_names(
                "rate shares handed over", [h.organisation for h in handovers]
            )
        return handovers

    def accept(self, handovers: Iterable[Handover], now: timedelta) -> None:
        """Begin main shares at once that former homes have stopped to spend.

        One that arrives before this instance has learned of its role is kept for up to
        ``proof_limit``. One of an earlier state of the table than that by which this
        instance became home is ignored.
        """
        is_proven = self._observe(now)
        if is_proven:
            self._settle(now)
        for handover in handovers:
            name = handover.organisation
            if name not in self._rates:
                self._ignore(handover, "unknown organisation")
            elif not is_proven:
                self._ignore(handover, "tables too old")
            elif not self._rates[name].main.history.current:
                self._pending[name] = handover, now + self._proof_limit
            else:
                self._accept(handover, now)

    def _set_role(
        self,
        name: str,
        rate: OrganisationRate,
        role: RateRole,
        after: timedelta,
        now: timedelta,
    ) -> None:
        rate.set_role(role, after, now, self._version)
        if not rate.is_settled:
            self._note_changing(name, rate)

    def _note_changing(self, name: str, rate: OrganisationRate) -> None:
        shares = rate.main.share, rate.reserve.share
        self._changing.setdefault(name, shares)

    def _bounds(self, now: timedelta) -> tuple[timedelta, timedelta]:
        """Return between which times the table must have given a share."""
        latest = now - self._proof_limit
        return min(self._seen_until - self._proof_limit, latest), latest

    def _age(self) -> timedelta | None:
        """Return the age of the tables; None if they are too old."""
        age = self._read_age() if self._is_proven() else None
        if age is None or age > self._proof_limit:
            return None
        return max(age, timedelta(0))

    def _read_age_ms(self) -> int | None:
        age = self._read_age()
        return None if age is None else age // _MILLISECOND

    def _observe(self, now: timedelta) -> bool:
        """Return whether the tables prove what may be spent."""
        age = self._age()
        if age is None:
            if not self._has_lapsed and self._roles is not None:
                self._log.decision("rates unproven", age_ms=self._read_age_ms())
            self._has_lapsed = self._roles is not None
            return False
        if self._seen_until != NEVER and now > self._seen_until + self._proof_limit:
            self._has_lapsed = True
        version = self._read_version()
        if self._has_lapsed:
            self._end_lapse(version, now)
        self._seen_version = version
        self._seen_until = max(self._seen_until, now - age)
        return True

    def _end_lapse(self, version: TableVersion | None, now: timedelta) -> None:
        """Go on if the tables did not change while they were too old.

        Shares that changed without a change of the tables, such as by members that
        expired on this instance's clock, begin anew.
        """
        self._has_lapsed = False
        is_same = version is not None and version == self._seen_version
        self._log.decision(
            "rates proven again",
            age_ms=(now - self._seen_until) // _MILLISECOND,
            begins_anew=not is_same,
            organisations=len(self._rates),
        )
        self._pending.clear()
        for name, rate in self._rates.items():
            if not is_same or not rate.is_settled:
                self._note_changing(name, rate)
                rate.restart(now)

    def _settle(self, now: timedelta) -> None:
        """Begin and end shares that depend on the time."""
        self._settled_at = now
        if self._pending:
            self._accept_pending(now)
        begun, ended = [], []
        for name, logged in list(self._changing.items()):
            rate = self._rates[name]
            rate.settle(*self._bounds(now), now)
            shares = rate.main.share, rate.reserve.share
            if any(new > old for new, old in zip(shares, logged, strict=True)):
                begun.append(name)
            if any(new < old for new, old in zip(shares, logged, strict=True)):
                ended.append(name)
            if rate.is_settled:
                del self._changing[name]
            else:
                self._changing[name] = shares
        if begun:
            self._log_names("rate shares begun", begun)
        if ended:
            self._log_names("rate shares ended", ended)

    def _accept_pending(self, now: timedelta) -> None:
        for name, (handover, kept_until) in list(self._pending.items()):
            if self._rates[name].main.history.current:
                del self._pending[name]
                self._accept(handover, now)
            elif now >= kept_until:
                del self._pending[name]
                self._ignore(handover, "not home")

    def _accept(self, handover: Handover, now: timedelta) -> None:
        name = handover.organisation
        rate = self._rates[name]
        history = rate.main.history
        if not handover.share > 0:  # also if it is not a number
            self._ignore(handover, "no share")
        elif rate.main.share > 0:
            self._ignore(handover, "share begun")
        elif history.gained_version is None:
            self._ignore(handover, "share begins anew")
        elif not _includes(handover.version, history.gained_version):
            self._ignore(handover, "share of a later state")
        else:
            share = min(handover.share, history.current)
            rate.main.begin(share, max(handover.tokens_millionths, 0), now)
            self._note_changing(name, rate)
            self._log.decision(
                "rate share accepted",
                organisation=name,
                share=share,
                tokens_millionths=handover.tokens_millionths,
                version=handover.version,
            )

    def _ignore(self, handover: Handover, reason: str) -> None:
        self._log.decision(
            "rate share not accepted",
            organisation=handover.organisation,
            version=handover.version,
            reason=reason,
        )

    def _refuse_unknown(self, organisation: str, now: timedelta) -> NoReturn:
        self.unproven_count += 1
        refused = self._unknown_refusals.add(now)
        if refused:
            self._log.decision(
                "rate of unknown organisation refused",
                organisation=organisation,
                refused=refused,
            )
        detail = "the organisation is not in the configuration in force here; not run"
        raise CodedError(ResultCode.IDENTITY_UNPROVEN, detail)

    def _refuse(
        self,
        organisation: str,
        rate: OrganisationRate,
        is_standby: bool,
        now: timedelta,
        reason: str,
    ) -> NoReturn:
        """Refuse an operation; without a reason because of the rate itself."""
        delay = timedelta(0)  # unknown
        if reason in ("", "share not begun"):
            delay = rate.promise(self._begins_at(rate, now), now)
        retry_after_ms = -(-delay // _MILLISECOND)
        refused = rate.refusals.add(now)
        if refused:
            self._log.decision(
                "rate refused",
                organisation=organisation,
                reason=reason or "rate exceeded",
                refused=refused,
                main_share=rate.main.share,
                standby_share=rate.reserve.share,
                is_standby=is_standby,
                age_ms=self._read_age_ms(),
                retry_after_ms=retry_after_ms,
            )
        if not reason:
            self.refused_count += 1
            raise CodedError(ResultCode.RATE_EXCEEDED, "", retry_after_ms)
        self.unproven_count += 1
        detail = (
            f"the instance may not spend the organisation's rate, {reason}; not run"
        )
        raise CodedError(ResultCode.IDENTITY_UNPROVEN, detail, retry_after_ms)

    def _begins_at(self, rate: OrganisationRate, now: timedelta) -> timedelta:
        """Return when the newest shares begin, if the tables stay as fresh."""
        learned_at = max(pot.history.begins_at() for pot in rate.pots)
        age = max(now - self._seen_until, timedelta(0))
        return max(learned_at + self._proof_limit + age, now)

    def _log_names(self, event: str, names: list[str]) -> None:
        named = sorted(names)[:LOGGED_NAMES_LIMIT_COUNT]
        self._log.decision(event, organisations=len(names), names=named)


def _includes(version: TableVersion, earlier: TableVersion) -> bool:
    """Return whether the first state is the second one or a later one."""
    pairs = zip(version, earlier, strict=False)
    return len(version) == len(earlier) and all(new >= old for new, old in pairs)

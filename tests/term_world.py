"""Proxies, databases and a table with a network that delays, reorders and loses.

The proxies decide with the product's own decisions, which ``Rules`` bundles so
that a test can replace one by a broken variant. ``World`` also is the judge: it
notes what callers were told and knows the logs, and uses none of the decisions.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.routing.choose_replica import is_eligible
from goldcrestpond.routing.position_samples import PositionSamples
from goldcrestpond.routing.read_bound import ReadBound
from goldcrestpond.routing.replica_state import ReplicaState
from goldcrestpond.session.position_state import PositionState
from goldcrestpond.session.resolve_position import resolve_position
from goldcrestpond.term.confirmation_outcome import ConfirmationOutcome
from goldcrestpond.term.confirmation_queue import ConfirmationQueue
from goldcrestpond.term.group_view import GroupView
from goldcrestpond.term.issue_term import has_issued, issue_term
from goldcrestpond.term.min_position_queue import MinPositionQueue
from goldcrestpond.term.promotion import Promotion
from goldcrestpond.term.promotion_step import PromotionStep
from goldcrestpond.term.status_sample import StatusSample
from goldcrestpond.term.term_start import TermStart

from .fake_group import Refused, make_group

ZERO = timedelta(0)


def serves_term(status, term):
    return status.role is Role.REPLICA and status.term == term


@dataclass
class Rules:
    """The decisions in use; each may be replaced."""

    confirmed: object = lambda view, now: view.confirmed_position(now)
    verified: object = lambda view: view.verified_sample()
    make_promotion: object = Promotion
    serves: object = serves_term
    resolve: object = resolve_position
    sampled_after: object = lambda sample, now: sample.sampled_after
    is_conditional: bool = True
    has_issued: object = has_issued


@dataclass
class Message:
    """A request on its way, or its answer on the way back."""

    proxy: "ModelProxy"
    target: str
    act: object
    take: object
    answer: object = None
    is_answered: bool = False


@dataclass
class Session:
    """A caller with its floor and what its reads must show."""

    min_position: LogPosition | None = None
    is_acknowledged: bool = False
    request: object = None
    required: set = field(default_factory=set)
    opened_acked: set = field(default_factory=set)


class ModelProxy:
    """A proxy's decisions; messages in place of sockets."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.crash()

    def crash(self):
        """Forget everything, as a process that starts anew."""
        self.world.starts += 1
        self.identity = f"{self.name}/{self.world.starts}"
        self.view = GroupView(self.world.databases)
        self.confirmations = ConfirmationQueue()
        self.floors = MinPositionQueue()
        self.ages = PositionSamples()
        self.entries = {}
        self.known_starts = {}
        self.row = None
        self.revision = 0
        self.promotion = None
        self.used_term = 0

    # Statuses

    def send(self, target, act, take):
        self.world.messages.append(Message(self, target, act, take))

    def poll(self, database):
        sent_at = self.world.now
        identity = self.identity

        def take(answer):
            if identity == self.identity and not isinstance(answer, Refused):
                self.observe(StatusSample(answer, sent_at, self.world.now))

        self.send(database, lambda db: db.status(), take)

    def observe(self, sample):
        self.view.observe(sample)
        status = sample.status
        if status.role is Role.PRIMARY and not status.fenced:
            start = TermStart(status.term, status.term_start_position)
            self.known_starts[status.term] = start
        verified = self.world.rules.verified(self.view)
        if verified is not None:
            time = self.world.rules.sampled_after(verified, self.world.now)
            self.ages.add(type(verified)(verified.position, time))
        self.settle()

    def settle(self):
        rules = self.world.rules
        confirmed = rules.confirmed(self.view, self.world.now)
        first = self.view.first_open_term()
        for confirmation in self.confirmations.settle(first, confirmed):
            entry, session = self.entries.pop(confirmation)
            if confirmation.outcome is ConfirmationOutcome.CONFIRMED:
                self.world.note_acknowledged(entry, confirmation.position, session)
        self.floors.settle(rules.verified(self.view))

    # Requests

    def write(self, session):
        primary = self.view.primary()
        if primary is None:
            return
        entry = self.world.next_entry()
        identity = self.identity

        def act(database):
            position = database.write(entry)
            self.world.note_written(entry)
            return position

        def take(answer):
            if identity != self.identity or isinstance(answer, Refused):
                return
            confirmation = self.confirmations.add(LogPosition(*answer))
            self.entries[confirmation] = (entry, session)
            self.settle()

        self.send(primary.status.database, act, take)

    def floor_of(self, session):
        """Return the session's floor; ask for one if it has none."""
        if session.min_position is not None:
            return session.min_position
        if session.request is None or session.request[0] != self.identity:
            session.request = (self.identity, self.floors.add(self.world.now))
        session.min_position = session.request[1].min_position
        if session.min_position is not None:
            session.required |= session.opened_acked
        return session.min_position

    def read(self, session, max_age):
        """Send a read to an eligible database, if there is one."""
        min_position = None if max_age is not None else self.floor_of(session)
        if min_position is None and max_age is None:
            return
        primary = self.view.primary()
        if primary is None:
            return
        term = primary.status.term
        position = None
        if min_position is not None:
            resolved = self.world.rules.resolve(
                min_position, term, self.known_starts.values()
            )
            if resolved.state is PositionState.LOST and session.is_acknowledged:
                self.world.faults.append(f"token {min_position} is called lost")
            if resolved.state is PositionState.TERM_UNKNOWN:
                return
            position = resolved.position
        bound = ReadBound(position, max_age)
        for sample in self.view.samples():
            if self.is_eligible(sample.status, term, bound):
                self.world.send_read(self, sample.status.database, session, max_age)

    def is_eligible(self, status, term, bound):
        if not self.world.rules.serves(status, term):
            return False
        fresh_as_of = self.ages.fresh_as_of(term, status.replayed_position)
        state = ReplicaState(
            status.database, status.replayed_position, fresh_as_of, ZERO, ZERO
        )
        return is_eligible(state, bound, self.world.now)

    # Promotion

    def claim(self, excluded=""):
        """Ask the table for the next term, to promote without one database."""
        identity = self.identity
        wanted = issue_term(self.row, self.view.highest_term(), identity)
        expected = self.revision

        def act(table):
            return table.put(wanted, expected, self.world.rules.is_conditional)

        def take(answer):
            if identity != self.identity:
                return
            self.row, self.revision = answer
            own = self.world.rules.has_issued(self.row, wanted.issued_term, identity)
            if own and wanted.issued_term > self.used_term:
                self.used_term = wanted.issued_term
                self.start(wanted.issued_term, excluded)

        self.send("table", act, take)

    def start(self, term, excluded):
        make = self.world.rules.make_promotion
        self.promotion = make(
            list(self.world.databases), term, self.identity, excluded=excluded
        )
        self.world.note_issued(term, self.identity)

    def step(self):
        """Send what the promotion's present step asks for."""
        promotion = self.promotion
        if promotion is None:
            return
        for database in promotion.databases_to_fence():
            self.send_step(database, "fence", promotion.record_fence_answer)
        if promotion.step is PromotionStep.PROMOTING:
            self.send_step(
                promotion.candidate, "promote", promotion.record_promote_answer
            )
        elif promotion.step is PromotionStep.DONE:
            for database in self.world.databases:
                if database != promotion.candidate:
                    self.follow(database, promotion.term, promotion.candidate)

    def send_step(self, database, name, answered):
        promotion, identity, sent_at = self.promotion, self.identity, self.world.now

        def act(db):
            before = db.role, db.fenced
            status = getattr(db, name)(promotion.term, promotion.promoter)
            if name == "promote" and before != (db.role, db.fenced):
                self.world.note_promoted(db)
            return status

        def take(answer):
            if identity != self.identity:
                return
            if isinstance(answer, Refused):
                promotion.record_refusal()
                return
            answered(answer)
            self.observe(StatusSample(answer, sent_at, self.world.now))

        self.send(database, act, take)

    def follow(self, database, term, primary):
        source = self.world.databases[primary]

        def act(db):
            is_reachable = source.name not in self.world.killed
            writes = source.role is Role.PRIMARY and not source.fenced
            if not is_reachable or not writes or source.term != term:
                raise Refused("no such primary")
            return db.follow(term, source)

        self.send(database, act, lambda answer: None)


class Table:
    """One row with conditional writes."""

    def __init__(self):
        self.row = None
        self.revision = 0

    def put(self, row, expected_revision, is_conditional):
        if not is_conditional or self.revision == expected_revision:
            self.row = row
            self.revision += 1
        return self.row, self.revision


class World:
    """Everything outside the proxies, and the judge of what callers were told."""

    def __init__(self, rules=None, names="abc"):
        self.rules = rules or Rules()
        self.now = ZERO
        self.databases = make_group(names)
        self.table = Table()
        self.killed = set()
        self.messages = []
        self.starts = 0
        self.entries = 0
        self.acknowledged = {}
        self.written_replaced = set()
        self.promoted = {1: "a"}
        self.issued = {}
        self.faults = []
        self.proxies = [ModelProxy(self, f"p{n}") for n in range(2)]

    # The network

    def deliver(self, index):
        """Let one request arrive, or one answer."""
        if not self.messages:
            return
        message = self.messages.pop(index % len(self.messages))
        if message.is_answered:
            message.take(message.answer)
            return
        if message.target in self.killed:
            return
        is_table = message.target == "table"
        target = self.table if is_table else self.databases[message.target]
        try:
            message.answer = message.act(target)
        except Refused as error:
            message.answer = error
        message.is_answered = True
        self.messages.append(message)

    def lose(self, index):
        """Lose one request, or one answer after its request took effect."""
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def settle_messages(self, proxy):
        """Deliver in order all that one proxy has under way."""
        for _ in range(60):
            own = [n for n, m in enumerate(self.messages) if m.proxy is proxy]
            if not own:
                return
            self.deliver(own[0])

    # Longer stretches

    def see(self, proxy, names=None):
        """Let a proxy poll databases and hear their answers."""
        self.now += timedelta(milliseconds=1)
        for name in names or self.databases:
            proxy.poll(name)
        self.settle_messages(proxy)

    def write(self, proxy, session, receivers=""):
        """Let a proxy write, some replicas receive, and the proxy hear of it."""
        proxy.write(session)
        self.settle_messages(proxy)
        for name in receivers:
            self.databases[name].receive(9)
        self.see(proxy)

    def elect(self, proxy, unreachable):
        """Let a proxy promote while some databases cannot be reached."""
        hidden = set(unreachable) - self.killed
        self.killed |= hidden
        self.see(proxy)
        proxy.claim()
        self.settle_messages(proxy)
        for _ in range(3):
            proxy.step()
            self.settle_messages(proxy)
        self.see(proxy)
        self.killed -= hidden

    # Notes of the judge

    def next_entry(self):
        self.entries += 1
        return self.entries

    def note_written(self, entry):
        writer_term = next(
            term
            for database in self.databases.values()
            for term, held in database.log[-1:]
            if held == entry
        )
        if writer_term < max(self.promoted):
            self.written_replaced.add(entry)

    def note_acknowledged(self, entry, position, session):
        self.acknowledged[entry] = (self.now, position)
        if entry in self.written_replaced:
            self.faults.append(f"{entry} acknowledged by a replaced primary")
        session.required.add(entry)
        if session.min_position is None or position > session.min_position:
            session.min_position = position
            session.is_acknowledged = True

    def note_issued(self, term, identity):
        owner = self.issued.setdefault(term, identity)
        if owner != identity:
            self.faults.append(f"term {term} issued to {owner} and {identity}")

    def note_promoted(self, database):
        other = self.promoted.setdefault(database.term, database.name)
        if other != database.name:
            self.faults.append(f"two primaries in term {database.term}")

    def open_session(self):
        return Session(opened_acked=set(self.acknowledged))

    def send_read(self, proxy, database, session, max_age):
        if max_age is None:
            required = set(session.required)
        else:
            required = {
                entry
                for entry, (time, _) in self.acknowledged.items()
                if time <= self.now - max_age
            }

        def act(db):
            shown = {entry for _, entry in db.log[: db.replayed]}
            if not required <= shown:
                missing = sorted(required - shown)
                self.faults.append(f"stale read of {missing} on {db.name}")

        proxy.send(database, act, lambda answer: None)

    # The promises

    def check(self):
        """Raise AssertionError if a promise is broken."""
        newest = self.databases[self.promoted[max(self.promoted)]]
        held = [entry for _, entry in newest.log]
        if len(set(held)) != len(held):
            self.faults.append(f"doubled in {held}")
        lost = set(self.acknowledged) - set(held)
        if lost:
            self.faults.append(f"lost {sorted(lost)}")
        if self.faults:
            raise AssertionError("; ".join(self.faults))

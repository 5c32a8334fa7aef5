"""Model of proxies, databases and a table, with an unreliable network.

The network delays, reorders and loses messages. The proxies use the decision
classes and functions of the product; ``Rules`` collects them so that a test can
replace one by a broken variant. ``World`` checks the guarantees: it records what
callers were answered, reads the logs, and uses none of these decisions.
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
    """The decisions under test; a test may replace each of them."""

    confirmed_position: object = lambda view, now: view.confirmed_position(now)
    verified_sample: object = lambda view: view.verified_sample()
    make_promotion: object = Promotion
    serves: object = serves_term
    resolve_position: object = resolve_position
    sampled_after: object = lambda sample, now: sample.sampled_after
    is_conditional: bool = True
    has_issued: object = has_issued


@dataclass
class Message:
    """A request in transit, or its answer in transit."""

    proxy: "ModelProxy"
    target: str
    execute: object
    on_answer: object
    answer: object = None
    is_answered: bool = False


@dataclass
class Session:
    """A caller's session, with the entries that its reads must show."""

    min_position: LogPosition | None = None
    is_acknowledged: bool = False
    request: object = None
    required: set = field(default_factory=set)
    acknowledged_at_open: set = field(default_factory=set)


class ModelProxy:
    """A proxy that makes its decisions on messages instead of sockets."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.crash()

    def crash(self):
        """Restart with empty state, as a new process."""
        self.world.starts += 1
        self.identity = f"{self.name}/{self.world.starts}"
        self.view = GroupView(self.world.databases)
        self.confirmations = ConfirmationQueue()
        self.min_positions = MinPositionQueue()
        self.position_samples = PositionSamples()
        self.entries = {}
        self.term_starts = {}
        self.row = None
        self.revision = 0
        self.promotion = None
        self.last_used_term = 0

    # Statuses

    def send(self, target, execute, on_answer):
        self.world.messages.append(Message(self, target, execute, on_answer))

    def poll(self, database):
        sent_at = self.world.now
        identity = self.identity

        def on_answer(answer):
            if identity == self.identity and not isinstance(answer, Refused):
                self.observe(StatusSample(answer, sent_at, self.world.now))

        self.send(database, lambda db: db.status(), on_answer)

    def observe(self, sample):
        self.view.observe(sample)
        status = sample.status
        if status.role is Role.PRIMARY and not status.fenced:
            start = TermStart(status.term, status.term_start_position)
            self.term_starts[status.term] = start
        verified = self.world.rules.verified_sample(self.view)
        if verified is not None:
            time = self.world.rules.sampled_after(verified, self.world.now)
            self.position_samples.add(type(verified)(verified.position, time))
        self.settle()

    def settle(self):
        rules = self.world.rules
        confirmed = rules.confirmed_position(self.view, self.world.now)
        first = self.view.first_open_term()
        for confirmation in self.confirmations.settle(first, confirmed):
            entry, session = self.entries.pop(confirmation)
            if confirmation.outcome is ConfirmationOutcome.CONFIRMED:
                self.world.record_acknowledged(entry, confirmation.position, session)
        self.min_positions.settle(rules.verified_sample(self.view))

    # Requests

    def write(self, session):
        primary = self.view.primary()
        if primary is None:
            return
        entry = self.world.next_entry()
        identity = self.identity

        def execute(database):
            position = database.write(entry)
            self.world.record_written(entry)
            return position

        def on_answer(answer):
            if identity != self.identity or isinstance(answer, Refused):
                return
            confirmation = self.confirmations.add(LogPosition(*answer))
            self.entries[confirmation] = (entry, session)
            self.settle()

        self.send(primary.status.database, execute, on_answer)

    def min_position_of(self, session):
        """Return the position that the session's reads must show, None if unknown.

        Requests a sample if the session has no position yet.
        """
        if session.min_position is not None:
            return session.min_position
        if session.request is None or session.request[0] != self.identity:
            session.request = (self.identity, self.min_positions.add(self.world.now))
        session.min_position = session.request[1].min_position
        if session.min_position is not None:
            session.required |= session.acknowledged_at_open
        return session.min_position

    def read(self, session, max_age):
        """Send a read to an eligible database, if there is one."""
        min_position = None if max_age is not None else self.min_position_of(session)
        if min_position is None and max_age is None:
            return
        primary = self.view.primary()
        if primary is None:
            return
        term = primary.status.term
        position = None
        if min_position is not None:
            resolved = self.world.rules.resolve_position(
                min_position, term, self.term_starts.values()
            )
            if resolved.state is PositionState.LOST and session.is_acknowledged:
                self.world.violations.append(f"token {min_position} reported as lost")
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
        fresh_as_of = self.position_samples.fresh_as_of(term, status.replayed_position)
        state = ReplicaState(
            status.database, status.replayed_position, fresh_as_of, ZERO, ZERO
        )
        return is_eligible(state, bound, self.world.now)

    # Promotion

    def request_term(self, excluded=""):
        """Ask the table for the next term, then promote without ``excluded``."""
        identity = self.identity
        row = issue_term(self.row, self.view.highest_term(), identity)
        expected_revision = self.revision

        def execute(table):
            return table.put(row, expected_revision, self.world.rules.is_conditional)

        def on_answer(answer):
            if identity != self.identity:
                return
            self.row, self.revision = answer
            is_issued = self.world.rules.has_issued(self.row, row.issued_term, identity)
            if is_issued and row.issued_term > self.last_used_term:
                self.last_used_term = row.issued_term
                self.start_promotion(row.issued_term, excluded)

        self.send("table", execute, on_answer)

    def start_promotion(self, term, excluded):
        make_promotion = self.world.rules.make_promotion
        self.promotion = make_promotion(
            list(self.world.databases), term, self.identity, excluded=excluded
        )
        self.world.record_issued(term, self.identity)

    def step(self):
        """Send the requests of the promotion's present step."""
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

    def send_step(self, database, name, record_answer):
        promotion, identity, sent_at = self.promotion, self.identity, self.world.now

        def execute(db):
            before = db.role, db.fenced
            status = getattr(db, name)(promotion.term, promotion.promoter)
            if name == "promote" and before != (db.role, db.fenced):
                self.world.record_promoted(db)
            return status

        def on_answer(answer):
            if identity != self.identity:
                return
            if isinstance(answer, Refused):
                promotion.record_refusal()
                return
            record_answer(answer)
            self.observe(StatusSample(answer, sent_at, self.world.now))

        self.send(database, execute, on_answer)

    def follow(self, database, term, primary):
        source = self.world.databases[primary]

        def execute(db):
            is_reachable = source.name not in self.world.killed
            writes = source.role is Role.PRIMARY and not source.fenced
            if not is_reachable or not writes or source.term != term:
                raise Refused("no such primary")
            return db.follow(term, source)

        self.send(database, execute, lambda answer: None)


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
    """Databases, table and network, with a check of the guarantees to callers."""

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
        self.written_by_replaced = set()
        self.promoted = {1: "a"}
        self.issued = {}
        self.violations = []
        self.proxies = [ModelProxy(self, f"p{n}") for n in range(2)]

    # The network

    def deliver_message(self, index):
        """Deliver one request to its target, or one answer to its proxy."""
        if not self.messages:
            return
        message = self.messages.pop(index % len(self.messages))
        if message.is_answered:
            message.on_answer(message.answer)
            return
        if message.target in self.killed:
            return
        is_table = message.target == "table"
        target = self.table if is_table else self.databases[message.target]
        try:
            message.answer = message.execute(target)
        except Refused as error:
            message.answer = error
        message.is_answered = True
        self.messages.append(message)

    def drop_message(self, index):
        """Drop one request, or one answer after its request took effect."""
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def deliver_all_of(self, proxy):
        """Deliver, in order, all messages of one proxy and their answers."""
        for _ in range(60):
            pending = [n for n, m in enumerate(self.messages) if m.proxy is proxy]
            if not pending:
                return
            self.deliver_message(pending[0])

    # Combined steps

    def poll_all(self, proxy, names=None):
        """Let a proxy poll databases and receive their answers."""
        self.now += timedelta(milliseconds=1)
        for name in names or self.databases:
            proxy.poll(name)
        self.deliver_all_of(proxy)

    def write(self, proxy, session, receivers=""):
        """Let a proxy write, ``receivers`` replicate, and the proxy poll them."""
        proxy.write(session)
        self.deliver_all_of(proxy)
        for name in receivers:
            self.databases[name].receive(9)
        self.poll_all(proxy)

    def promote_while_unreachable(self, proxy, unreachable):
        """Let a proxy run a promotion while some databases cannot be reached."""
        unreachable_live = set(unreachable) - self.killed
        self.killed |= unreachable_live
        self.poll_all(proxy)
        proxy.request_term()
        self.deliver_all_of(proxy)
        for _ in range(3):
            proxy.step()
            self.deliver_all_of(proxy)
        self.poll_all(proxy)
        self.killed -= unreachable_live

    # Records for the check

    def next_entry(self):
        self.entries += 1
        return self.entries

    def record_written(self, entry):
        writer_term = next(
            term
            for database in self.databases.values()
            for term, held in database.log[-1:]
            if held == entry
        )
        if writer_term < max(self.promoted):
            self.written_by_replaced.add(entry)

    def record_acknowledged(self, entry, position, session):
        self.acknowledged[entry] = (self.now, position)
        if entry in self.written_by_replaced:
            self.violations.append(f"{entry} acknowledged by a replaced primary")
        session.required.add(entry)
        if session.min_position is None or position > session.min_position:
            session.min_position = position
            session.is_acknowledged = True

    def record_issued(self, term, identity):
        owner = self.issued.setdefault(term, identity)
        if owner != identity:
            self.violations.append(f"term {term} issued to {owner} and {identity}")

    def record_promoted(self, database):
        other = self.promoted.setdefault(database.term, database.name)
        if other != database.name:
            self.violations.append(f"two primaries in term {database.term}")

    def open_session(self):
        return Session(acknowledged_at_open=set(self.acknowledged))

    def send_read(self, proxy, database, session, max_age):
        if max_age is None:
            required = set(session.required)
        else:
            required = {
                entry
                for entry, (time, _) in self.acknowledged.items()
                if time <= self.now - max_age
            }

        def execute(db):
            shown = {entry for _, entry in db.log[: db.replayed]}
            if not required <= shown:
                missing = sorted(required - shown)
                self.violations.append(f"stale read of {missing} on {db.name}")

        proxy.send(database, execute, lambda answer: None)

    # Guarantees

    def check(self):
        """Raise AssertionError if a guarantee was violated."""
        newest = self.databases[self.promoted[max(self.promoted)]]
        held = [entry for _, entry in newest.log]
        if len(set(held)) != len(held):
            self.violations.append(f"duplicate entries in {held}")
        lost = set(self.acknowledged) - set(held)
        if lost:
            self.violations.append(f"lost {sorted(lost)}")
        if self.violations:
            raise AssertionError("; ".join(self.violations))

"""State machine test of `DatabasePool` with a model of its caller and an endpoint."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from goldcrestpond.pool.check_connection import CheckConnection
from goldcrestpond.pool.close_connection import CloseConnection
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.grant_connection import GrantConnection
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.open_connection import OpenConnection
from goldcrestpond.pool.pool_settings import PoolSettings
from goldcrestpond.pool.probe_endpoint import ProbeEndpoint
from goldcrestpond.pool.refuse_request import RefuseRequest
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

SETTINGS = PoolSettings(slot_limit=4, report_slot_limit=2, connection_limit=6)
_INDEX = st.integers(0, 1_000)


class PoolMachine(RuleBasedStateMachine):
    """Carries out the actions of one pool and checks its invariants.

    The test keeps its own model of the endpoint's connections and statements, and
    reports random events to the pool.
    """

    pool_type = DatabasePool
    organisations = ("",)

    def __init__(self):
        super().__init__()
        self.now = timedelta(seconds=100)
        self.pool = self.pool_type(SETTINGS)
        self.term = 0
        self.share = SETTINGS.connection_limit
        self.next_request = 0
        self.waiting = {}
        self.answered = set()
        self.sockets = {}  # connection_id -> term; open at the endpoint
        self.opening = {}
        self.checking = set()
        self.probes = set()  # connection_id of the silent connections being probed
        self.running = {}  # connection_id -> request
        self.in_transaction = {}  # connection_id -> request; waits for its caller
        self.last_active_at = {}  # connection_id -> time of the last data
        self.silent = set()
        self.closing = set()
        self.organisation_of = {}  # connection_id -> organisation
        self.has_organisations = False
        self.slotless = set()  # opened or checked before an organisation was named

    def apply(self, actions):
        for action in actions:
            match action:
                case OpenConnection(connection_id, term, organisation):
                    assert term == self.term
                    self.opening[connection_id] = term
                    self.organisation_of[connection_id] = organisation
                    self.check_share()
                    self.check_preparation(connection_id)
                case CloseConnection(connection_id, reason):
                    assert connection_id not in self.closing
                    if reason == "room for another organisation":
                        self.check_close_for_room(connection_id)
                    if connection_id in self.running and reason == "silent":
                        self.check_silent_close(connection_id)
                    self.closing.add(connection_id)
                    self.checking.discard(connection_id)
                    self.running.pop(connection_id, None)
                    self.in_transaction.pop(connection_id, None)
                case GrantConnection(request_id, connection_id):
                    self.check_grant(request_id, connection_id)
                case CheckConnection(connection_id):
                    assert connection_id not in self.running
                    self.checking.add(connection_id)
                    self.check_preparation(connection_id)
                case ProbeEndpoint(connection_id):
                    assert connection_id not in self.probes
                    self.probes.add(connection_id)
                    self.check_share()
                case RefuseRequest(request_id, _, retry_after_ms):
                    assert request_id in self.waiting, "a request that ran was refused"
                    assert retry_after_ms >= 1
                    del self.waiting[request_id]

    def check_grant(self, request_id, connection_id):
        request = self.waiting.pop(request_id)
        organisation = request.requester.organisation
        assert self.organisation_of[connection_id] == organisation, "served two"
        assert connection_id in self.sockets
        assert connection_id not in self.running
        assert connection_id not in self.in_transaction
        assert connection_id not in self.closing, "a late answer could be misassigned"
        assert connection_id not in self.silent, "an answer is outstanding"
        assert self.sockets[connection_id] == self.term, "opened in an earlier term"
        assert self.now <= request.deadline
        self.check_lanes(request.lane)
        self.running[connection_id] = request
        self.last_active_at[connection_id] = self.now

    def check_lanes(self, lane):
        lanes = [lane, *(r.lane for r in self.running.values())]
        other_lane_count = sum(other is not Lane.SHORT for other in lanes)
        assert len(lanes) <= SETTINGS.slot_limit
        if lane is not Lane.SHORT:
            assert other_lane_count <= SETTINGS.slot_limit - 1, (
                "no slot for short requests"
            )
        if lane is Lane.REPORT:
            assert lanes.count(Lane.REPORT) <= SETTINGS.report_slot_limit

    def occupied_count(self):
        preparing = (set(self.opening) | self.checking) - self.closing - self.slotless
        return len(self.running) + len(preparing)

    def check_preparation(self, connection_id):
        """An opening or a check for an organisation occupies a slot."""
        if self.has_organisations:
            self.slotless.discard(connection_id)
            assert self.occupied_count() <= SETTINGS.slot_limit
        else:
            self.slotless.add(connection_id)

    def check_close_for_room(self, connection_id):
        assert connection_id in self.sockets
        used = set(self.running) | set(self.in_transaction) | self.checking
        assert connection_id not in used, "closed while in use"
        waiting = {r.requester.organisation for r in self.waiting.values()}
        assert waiting - {self.organisation_of[connection_id]}, "closed for nobody"
        remaining = (set(self.sockets) | set(self.opening)) - self.closing
        limit = self.pool._compute_room(self.now).limit
        room = limit - len(self.probes) - len(remaining - {connection_id})
        assert room <= len(waiting), "more closed than needed"

    def check_share(self):
        open_count = len(set(self.sockets) | set(self.opening)) + len(self.probes)
        assert open_count <= self.share, "more connections than the share"

    def check_silent_close(self, connection_id):
        is_timed_out = (
            self.now - self.last_active_at[connection_id] >= SETTINGS.silence_timeout
        )
        has_lost_answer = connection_id in self.silent
        assert has_lost_answer or is_timed_out, "a running statement was closed"

    @rule(
        caller=st.sampled_from("abc"),
        lane=st.sampled_from(Lane),
        wait_ms=st.integers(1, 3000),
        choice=_INDEX,
    )
    def send_request(self, caller, lane, wait_ms, choice):
        organisation = self.organisations[choice % len(self.organisations)]
        self.has_organisations |= bool(organisation)
        self.next_request += 1
        deadline = self.now + timedelta(milliseconds=wait_ms)
        requester = Requester(caller, organisation, 1.0 + choice % 3)
        request = SlotRequest(self.next_request, requester, lane, deadline)
        self.waiting[request.request_id] = request
        self.apply(self.pool.request(request, self.now))

    @rule(lane=st.sampled_from(Lane), count=st.integers(2, 6), choice=_INDEX)
    def send_requests(self, lane, count, choice):
        for _ in range(count):
            self.send_request("d", lane, 3000, choice)

    @precondition(lambda machine: machine.waiting)
    @rule(index=_INDEX)
    def cancel_request(self, index):
        request_id = self.pick(self.waiting, index)
        del self.waiting[request_id]
        self.apply(self.pool.cancel_request(request_id, self.now))

    @precondition(lambda machine: machine.opening)
    @rule()
    def finish_all_opens(self):
        for _ in range(len(self.opening)):
            self.finish_open(0, "ok")

    def pick(self, items, index):
        items = sorted(items)
        return items[index % len(items)]

    @precondition(lambda machine: machine.opening)
    @rule(index=_INDEX, outcome=st.sampled_from(["ok", "ok", "ok", "many", "fail"]))
    def finish_open(self, index, outcome):
        connection_id = self.pick(self.opening, index)
        term = self.opening.pop(connection_id)
        if connection_id in self.closing:
            self.closing.discard(connection_id)
            self.apply(self.pool.record_closed(connection_id, self.now))
        elif outcome == "ok":
            self.sockets[connection_id] = term
            self.apply(self.pool.record_opened(connection_id, self.now))
        else:
            too_many = outcome == "many"
            self.apply(self.pool.record_open_failure(connection_id, too_many, self.now))

    @precondition(lambda machine: set(machine.running) - machine.silent)
    @rule(index=_INDEX, reusable=st.booleans(), suspends=st.booleans())
    def answer(self, index, reusable, suspends):
        connection_id = self.pick(set(self.running) - self.silent, index)
        request = self.running.pop(connection_id)
        if suspends:
            self.in_transaction[connection_id] = request
            self.apply(self.pool.suspend(connection_id, self.now))
        else:
            self.apply(self.pool.release(connection_id, reusable, self.now))

    @precondition(lambda machine: machine.in_transaction)
    @rule(index=_INDEX, continues=st.booleans())
    def continue_transaction(self, index, continues):
        connection_id = self.pick(self.in_transaction, index)
        request = self.in_transaction.pop(connection_id)
        if continues:
            self.running[connection_id] = request
            self.last_active_at[connection_id] = self.now
            self.pool.resume(connection_id, self.now)
        else:
            self.apply(self.pool.release(connection_id, True, self.now))

    @precondition(lambda machine: machine.running)
    @rule(index=_INDEX)
    def fall_silent(self, index):
        connection_id = self.pick(self.running, index)
        self.silent.add(connection_id)

    @precondition(lambda machine: machine.silent & machine.closing)
    @rule(index=_INDEX)
    def answer_late(self, index):
        connection_id = self.pick(self.silent & self.closing, index)
        self.apply(self.pool.release(connection_id, True, self.now))

    @precondition(lambda machine: machine.probes)
    @rule(index=_INDEX, is_known=st.booleans(), is_answered=st.booleans())
    def finish_probe(self, index, is_known, is_answered):
        connection_id = self.pick(self.probes, index)
        self.probes.discard(connection_id)
        if not is_answered:
            self.apply(self.pool.record_probe_failure(connection_id, self.now))
        else:
            is_running = (
                connection_id in self.running and connection_id not in self.silent
            )
            if is_running and is_known:
                self.last_active_at[connection_id] = self.now
            answer = is_running if is_known else None
            self.apply(self.pool.record_probe_answer(connection_id, answer, self.now))

    @precondition(lambda machine: machine.checking)
    @rule(index=_INDEX, healthy=st.booleans())
    def finish_check(self, index, healthy):
        connection_id = self.pick(self.checking, index)
        self.checking.discard(connection_id)
        self.apply(self.pool.record_check_result(connection_id, healthy, self.now))

    @precondition(lambda machine: machine.closing - set(machine.opening))
    @rule(index=_INDEX)
    def finish_close(self, index):
        connection_id = self.pick(self.closing - set(self.opening), index)
        self.closing.discard(connection_id)
        self.silent.discard(connection_id)
        self.sockets.pop(connection_id, None)
        self.apply(self.pool.record_closed(connection_id, self.now))

    @rule(share=st.integers(0, 8))
    def change_share(self, share):
        self.share = share
        self.apply(self.pool.set_share(share, self.now))

    @rule()
    def change_term(self):
        self.term += 1
        self.apply(self.pool.set_term(self.term, self.now))

    @rule(step_ms=st.sampled_from([1, 20, 150, 600, 1100, 6000, 31000]))
    def wait(self, step_ms):
        self.now += timedelta(milliseconds=step_ms)
        self.apply(self.pool.tick(self.now))
        unanswered = [r for r in self.waiting.values() if r.deadline <= self.now]
        assert not unanswered, "a request was not answered by its deadline"

    @invariant()
    def every_open_connection_is_counted(self):
        open_count = len(set(self.sockets) | set(self.opening)) + len(self.probes)
        assert self.pool.open_count == open_count

    @invariant()
    def no_slot_is_free_while_a_request_could_run(self):
        healthy = set(self.sockets) - self.closing - self.checking
        idle = healthy - set(self.running) - set(self.in_transaction)
        usable = [c for c in idle if self.sockets[c] == self.term]
        for organisation in {self.organisation_of[c] for c in usable}:
            is_short_waiting = any(
                r.lane is Lane.SHORT and r.requester.organisation == organisation
                for r in self.waiting.values()
            )
            own_checks = {
                c for c in self.checking if self.organisation_of[c] == organisation
            }
            if is_short_waiting and not own_checks:
                assert self.occupied_count() >= SETTINGS.slot_limit

    @invariant()
    def every_waiting_request_is_counted(self):
        assert self.pool.waiting_count == len(self.waiting)


class OrganisationPoolMachine(PoolMachine):
    """The same with requests of several organisations, and some of none."""

    organisations = ("small", "large", "large", "other", "")

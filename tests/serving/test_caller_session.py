"""Interleavings of a caller's statements with changes of its key and of the proof."""

import random
from dataclasses import replace
from types import SimpleNamespace

import anyio
import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.overload.admission import Admission
from goldcrestpond.platform.line_codec import Query, decode_statement
from goldcrestpond.serving import caller_session
from goldcrestpond.serving.caller_session import CallerSession
from goldcrestpond.serving.identity_check import IdentityCheck
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.proven_age import ProvenAge
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.transaction_state import TransactionState

from ..line_world import ListLog
from .test_identity_check import ACME, BOLT, CLOSED, KEY, table
from .test_leadership import ms

TEXTS = ["READ a", "WRITE a 1", "BEGIN", "COMMIT", "ROLLBACK", "SET a b"]
KEYS = {
    "give": {"key-of-acme": ACME},
    "move": {"key-of-acme": BOLT},
    "withdraw": {},
}
# What may be answered if the key is not proven to be of an organisation.
REFUSED = {
    ResultCode.AUTHENTICATION_FAILED,
    ResultCode.IDENTITY_UNPROVEN,
    ResultCode.MALFORMED_FRAME,
    ResultCode.ROLLED_BACK,
    ResultCode.TRANSACTION_FAILED,
}


async def _run_here(*_):
    """Let the instance run a statement itself."""


NO_TASKS = SimpleNamespace(start_soon=lambda *_: None)
HERE = SimpleNamespace(run_read=_run_here, open_transaction=_run_here)


class World:
    """A session whose statements are recorded instead of being sent to a database."""

    def __init__(self):
        self.ran = []  # organisation for which each statement ran
        self.open_links = 0
        self.is_proven = True
        self.owner = ACME
        clock = ManualClock()
        self.directory = SimpleNamespace(
            table=replace(table(KEYS["give"]), routes={"d": CLOSED}),
            metrics=Metrics(),
            service=lambda name: SimpleNamespace(
                leadership=SimpleNamespace(epoch=1), name=name
            ),
            route=lambda name: CLOSED,
        )
        proof = ProvenAge(ms(100), lambda: ms(0) if self.is_proven else None)
        check = IdentityCheck(lambda: self.directory.table, proof, ListLog(), Metrics())
        self.session = CallerSession(
            "c1",
            "d",
            KEY,
            check,
            self.directory,
            HERE,
            Admission(clock, NO_TASKS),
            clock,
            random.Random(1),
            ListLog(),
        )

    def patch(self, monkeypatch):
        world = self

        class Single:
            def __init__(self, requester, *rest):
                self._requester = requester

            async def run(self, *args):
                world.ran.append(self._requester.organisation)
                return Reply()

        class Runner:
            def __init__(self, requester, transaction, *rest):
                self._requester, self._transaction = requester, transaction

            async def run(self, *args):
                if self._transaction.link is None:
                    world.open_links += 1
                    self._transaction.link = self._requester.organisation
                # The connection serves the organisation that it was opened for.
                world.ran.append(self._transaction.link)
                return Reply()

            async def return_link(self):
                if self._transaction.link is not None:
                    world.open_links -= 1
                self._transaction.link = None

        monkeypatch.setattr(caller_session, "SingleStatement", Single)
        monkeypatch.setattr(caller_session, "TransactionRunner", Runner)

    async def step(self, step):
        if step in KEYS:
            self.owner = KEYS[step].get("key-of-acme")
            version = self.directory.table.version + 1
            self.directory.table = table(KEYS[step], version)
        elif step in ("lose proof", "regain proof"):
            self.is_proven = step == "regain proof"
        else:
            await self._run(step)

    async def _run(self, text):
        count = len(self.ran)
        reply = await self.session.run(decode_statement(Query("q1", text)))
        for organisation in self.ran[count:]:
            assert_that(self.is_proven, Is(True))
            assert_that(organisation, Equals(self.owner and self.owner.name))
        if not self.is_proven:
            unknown = reply.error is ResultCode.AUTHENTICATION_FAILED
            assert_that(unknown, Is(False))
        may_run = self.is_proven and self.owner is not None
        if not may_run and text not in ("ROLLBACK", "SET a b"):
            assert_that(reply.error in REFUSED, Is(True))
        if self.session.transaction_state is not TransactionState.OPEN:
            assert_that(self.open_links, Equals(0))


_STEPS = st.lists(
    st.sampled_from([*TEXTS, *TEXTS, *KEYS, "lose proof", "regain proof"]), max_size=30
)


def run_steps(steps):
    async def run():
        with pytest.MonkeyPatch.context() as monkeypatch:
            world = World()
            world.patch(monkeypatch)
            for step in steps:
                await world.step(step)
            await world.session.aclose()
            assert_that(world.open_links, Equals(0))
            return world

    return anyio.run(run)


@settings(max_examples=150)
@given(_STEPS)
def test_statements_run_only_for_the_proven_owner_of_the_key(steps):
    run_steps(steps)


# Broken variants: each must be caught by the checks above.
@pytest.mark.parametrize(
    "steps",
    [
        ["BEGIN", "WRITE a 1", "withdraw", "COMMIT"],
        ["BEGIN", "WRITE a 1", "move", "WRITE a 1"],
        ["BEGIN", "WRITE a 1", "lose proof", "READ a"],
    ],
)
def test_check_at_the_begin_alone_is_caught(steps, monkeypatch):
    run_steps(steps)
    monkeypatch.setattr(
        CallerSession, "_identify_in_transaction", lambda session, transaction: None
    )
    with pytest.raises(AssertionError):
        run_steps(steps)


@pytest.mark.parametrize("change", ["withdraw", "move", "lose proof"])
def test_check_at_connect_alone_is_caught(change, monkeypatch):
    steps = [change, "READ a"]
    run_steps(steps)
    monkeypatch.setattr(CallerSession, "_identify", lambda session, route: None)
    with pytest.raises(AssertionError):
        run_steps(steps)


def test_reply_in_a_transaction_says_that_nothing_is_kept():
    async def answer(world, change, text):
        for step in ("BEGIN", "WRITE a 1", change):
            await world.step(step)
        reply = await world.session.run(decode_statement(Query("q2", text)))
        return reply.error, reply.state

    async def run(change, text):
        with pytest.MonkeyPatch.context() as monkeypatch:
            world = World()
            world.patch(monkeypatch)
            return await answer(world, change, text)

    failed, idle = TransactionState.FAILED, TransactionState.IDLE
    unknown = ResultCode.AUTHENTICATION_FAILED
    rolled_back = ResultCode.ROLLED_BACK
    expected = {
        ("withdraw", "READ a"): (unknown, failed),
        ("withdraw", "COMMIT"): (unknown, idle),
        ("move", "READ a"): (rolled_back, failed),
        ("lose proof", "READ a"): (rolled_back, failed),
        ("lose proof", "COMMIT"): (rolled_back, idle),
    }
    found = {case: anyio.run(run, *case) for case in expected}
    assert_that(found, Equals(expected))


# Failure: a statement that arrives when there may be no time to answer it is sent to a
# database, and cut when the process ends.
@pytest.mark.parametrize("text", ["READ a", "WRITE a 1", "BEGIN"])
def test_nothing_begins_once_the_instance_is_about_to_end(text, monkeypatch):
    async def run():
        world = World()
        world.patch(monkeypatch)
        world.session._admission.is_stopped = True
        reply = await world.session.run(decode_statement(Query("q1", text)))
        assert_that(reply.error, Is(ResultCode.SHUTTING_DOWN))
        assert_that(world.ran, Equals([]))

    anyio.run(run)

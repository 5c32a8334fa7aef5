"""Terms and logs of a group of databases under random orders."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.group.role import Role
from goldcrestpond.standin.database import Database, make_first_entry
from goldcrestpond.standin.database_error import DatabaseError
from goldcrestpond.standin.log_entry import Write
from goldcrestpond.standin.statement import parse_statement

_MEMBER = st.integers(0, 2)
_SHIFT = st.sampled_from([0, 0, 0, -1, 1])
_INSERT = parse_statement("INSERT INTO t VALUES ($1)")
_SELECT = parse_statement("SELECT id FROM t ORDER BY id")


class Terms(RuleBasedStateMachine):
    """Any order of fences, promotions, follows, writes and restarts."""

    def __init__(self):
        super().__init__()
        entry = make_first_entry(["CREATE TABLE t (id BIGINT)"], timedelta(0))
        self.members = [Database(name, entry, lambda: timedelta(0)) for name in "abc"]
        self.members[0].role = Role.PRIMARY
        for member in self.members[1:]:
            member.follow(1, "a", self.members[0])
        self.writer_of_term = {}
        self.number = 0

    def _try(self, call, *arguments):
        try:
            call(*arguments)
        except DatabaseError:
            pass

    @rule(member=_MEMBER)
    def write(self, member):
        self.number += 1
        write = Write(_INSERT, (self.number,), (1, []))
        self._try(self.members[member].commit, [write])

    @rule(member=_MEMBER, shift=_SHIFT, promoter=st.sampled_from("pq"))
    def fence(self, member, shift, promoter):
        term = self.members[member].term + shift
        self._try(self.members[member].fence, term, promoter)

    @rule(member=_MEMBER, shift=_SHIFT, promoter=st.sampled_from("pq"))
    def promote(self, member, shift, promoter):
        term = self.members[member].term + shift
        others = [m for m in self.members if m is not self.members[member]]
        # The platform's conditional write lets one promoter have a term, and a
        # promoter chooses one candidate; this rule keeps to the second half.
        if not any(m.term == term and m.writable for m in others):
            self._try(self.members[member].promote, term, promoter)

    @rule(member=_MEMBER)
    def elect(self, member):
        term = max(each.term for each in self.members) + 1
        self.members[member].fence(term, "p")
        self.members[member].promote(term, "p")

    @rule(member=_MEMBER, source=_MEMBER, shift=_SHIFT)
    def follow(self, member, source, shift):
        followed = self.members[source]
        term = followed.term + shift
        try:
            self.members[member].follow(term, followed.name, followed)
        except DatabaseError:
            return
        assert_that(self.members[member].term, Equals(followed.term))

    @rule(member=_MEMBER)
    def receive(self, member):
        follower = self.members[member]
        for source in self.members:
            if follower.source_address == source.name and source.writable:
                if source.term == follower.term and not follower.fenced:
                    follower.receive(source.log[len(follower.log) :])

    @rule(member=_MEMBER)
    def restart(self, member):
        self.members[member].rebuild()

    @invariant()
    def followers_hold_a_prefix(self):
        for primary in self.members:
            for follower in self.members:
                is_followed = follower.source_address == primary.name
                if is_followed and follower.role is Role.REPLICA and primary.writable:
                    if primary.term == follower.term and not follower.fenced:
                        prefix = primary.log[: len(follower.log)]
                        assert_that(follower.log, Equals(prefix))

    @invariant()
    def rows_are_those_of_the_replayed_log(self):
        for member in self.members:
            replayed = member.log[1 : member.replayed_position]
            numbers = sorted(w.parameters[0] for e in replayed for w in e.writes)
            rows = member.run([], _SELECT, ()).rows
            assert_that([row[0] for row in rows], Equals(numbers))


TestTerms = Terms.TestCase
TestTerms.settings = settings(max_examples=150, stateful_step_count=40)

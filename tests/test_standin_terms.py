"""Terms and logs of stand-in databases under control statements in random order."""

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

_INDEX = st.integers(0, 2)
_TERM_OFFSET = st.sampled_from([0, 0, 0, -1, 1])
_INSERT = parse_statement("INSERT INTO t VALUES ($1)")
_SELECT = parse_statement("SELECT id FROM t ORDER BY id")


class TermsMachine(RuleBasedStateMachine):
    """Fences, promotions, follows, writes and restarts in any order."""

    def __init__(self):
        super().__init__()
        entry = make_first_entry(["CREATE TABLE t (id BIGINT)"], timedelta(0))
        self.databases = [Database(name, entry, lambda: timedelta(0)) for name in "abc"]
        self.databases[0].role = Role.PRIMARY
        for database in self.databases[1:]:
            database.follow(1, "a", self.databases[0])
        self.writer_of_term = {}
        self.last_number = 0

    def _call_ignoring_refusal(self, call, *arguments):
        try:
            call(*arguments)
        except DatabaseError:
            pass

    @rule(index=_INDEX)
    def write(self, index):
        self.last_number += 1
        write = Write(_INSERT, (self.last_number,), (1, []))
        self._call_ignoring_refusal(self.databases[index].commit, [write])

    @rule(index=_INDEX, term_offset=_TERM_OFFSET, promoter=st.sampled_from("pq"))
    def fence(self, index, term_offset, promoter):
        term = self.databases[index].term + term_offset
        self._call_ignoring_refusal(self.databases[index].fence, term, promoter)

    @rule(index=_INDEX, term_offset=_TERM_OFFSET, promoter=st.sampled_from("pq"))
    def promote(self, index, term_offset, promoter):
        term = self.databases[index].term + term_offset
        others = [d for d in self.databases if d is not self.databases[index]]
        # In operation a term belongs to one promoter, by the platform's conditional
        # write, and a promoter chooses one candidate. This rule only keeps to the
        # second: it promotes no other database in the same term.
        if not any(d.term == term and d.writable for d in others):
            self._call_ignoring_refusal(self.databases[index].promote, term, promoter)

    @rule(index=_INDEX)
    def fence_and_promote(self, index):
        term = max(each.term for each in self.databases) + 1
        self.databases[index].fence(term, "p")
        self.databases[index].promote(term, "p")

    @rule(index=_INDEX, source=_INDEX, term_offset=_TERM_OFFSET)
    def follow(self, index, source, term_offset):
        followed = self.databases[source]
        term = followed.term + term_offset
        try:
            self.databases[index].follow(term, followed.name, followed)
        except DatabaseError:
            return
        assert_that(self.databases[index].term, Equals(followed.term))

    @rule(index=_INDEX)
    def receive(self, index):
        follower = self.databases[index]
        for source in self.databases:
            if follower.source_address == source.name and source.writable:
                if source.term == follower.term and not follower.fenced:
                    follower.receive(source.log[len(follower.log) :])

    @rule(index=_INDEX)
    def restart(self, index):
        self.databases[index].rebuild()

    @invariant()
    def followers_have_a_prefix_of_the_primarys_log(self):
        for primary in self.databases:
            for follower in self.databases:
                is_followed = follower.source_address == primary.name
                if is_followed and follower.role is Role.REPLICA and primary.writable:
                    if primary.term == follower.term and not follower.fenced:
                        prefix = primary.log[: len(follower.log)]
                        assert_that(follower.log, Equals(prefix))

    @invariant()
    def rows_match_the_replayed_log(self):
        for database in self.databases:
            replayed = database.log[1 : database.replayed_position]
            numbers = sorted(w.parameters[0] for e in replayed for w in e.writes)
            rows = database.run([], _SELECT, ()).rows
            assert_that([row[0] for row in rows], Equals(numbers))


# Guards against logs that diverge from the primary's, and rows from the log.
TestTerms = TermsMachine.TestCase
TestTerms.settings = settings(max_examples=150, stateful_step_count=40)

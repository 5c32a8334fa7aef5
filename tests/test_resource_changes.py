"""Model test of concurrent operators: resources stay consistent in any order.

Each operator plans changes with its own copy of the table, which is often old;
batches arrive late, twice, in any order or never. The model must find the fault
in each broken variant.
"""

from collections import Counter, deque
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)
from testtools.assertions import MismatchError, assert_that
from testtools.matchers import (
    AfterPreprocessing,
    Equals,
    GreaterThan,
    HasLength,
    Not,
)

from goldcrestpond.configuration import check_constraints
from goldcrestpond.configuration import plan_change as plan_module
from goldcrestpond.configuration.change_action import ChangeAction
from goldcrestpond.configuration.change_batch import make_change_batch
from goldcrestpond.configuration.change_error import ChangeError
from goldcrestpond.configuration.change_request import ChangeRequest
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.keys import CONFIGURATION_PREFIX, resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.resource_table import ResourceTable
from goldcrestpond.standin.table import Table
from goldcrestpond.store.condition import Condition
from goldcrestpond.store.platform_conflict import PlatformConflict
from goldcrestpond.store.write import Write

_OPERATORS = st.integers(0, 1)
_GROUPS = st.sampled_from(["g", "h"])
_NAMES = st.sampled_from(["x", "y"])


def group_spec(names):
    databases = [{"name": name, "address": f"127.0.0.1:{ord(name)}"} for name in names]
    return {"databases": databases, "user": "u"}


_SPECS = {
    Kind.ROUTE: st.builds(
        lambda database, group, policy: {
            "database": database,
            "group": group,
            "read_policy": policy,
        },
        st.sampled_from(["d", "e"]),
        _GROUPS,
        st.sampled_from(["", "x"]),
    ),
    Kind.READ_POLICY: st.builds(lambda age: {"max_age_ms": age}, st.integers(1, 3)),
    Kind.DRAIN_ORDER: st.builds(
        lambda group, database: {
            "group": group,
            "database": database,
            "deadline_ms": 1,
        },
        _GROUPS,
        st.sampled_from("ab"),
    ),
    Kind.DATABASE_GROUP: st.builds(group_spec, st.sampled_from(["ab", "abc", "bc"])),
}


@st.composite
def requests(draw):
    """Draw a change that an operator requests."""
    kind = draw(st.sampled_from(list(Kind)))
    action = draw(st.sampled_from(list(ChangeAction)))
    name = draw(_GROUPS if kind is Kind.DATABASE_GROUP else _NAMES)
    spec = None if action is ChangeAction.DELETE else draw(_SPECS[kind])
    return ChangeRequest(action, kind, name, spec)


@dataclass
class Batch:
    """A planned change that is in flight to the table."""

    key: str
    request: ChangeRequest
    writes: list


class OperatorsMachine(RuleBasedStateMachine):
    """Two operators that change resources in the same table."""

    drops_condition = staticmethod(lambda write: False)

    @initialize()
    def start(self):
        self.table = Table()
        self.copies = [ResourceTable(), ResourceTable()]
        self.in_flight = deque(maxlen=6)
        self.requests = {}
        self.effects = Counter()
        self.in_force_revision = 0
        self.memberships = {}
        self.has_group("g", 0)

    @rule(name=_GROUPS, operator=_OPERATORS)
    def has_group(self, name, operator):
        spec = group_spec("ab")
        request = ChangeRequest(ChangeAction.CREATE, Kind.DATABASE_GROUP, name, spec)
        self.refresh(operator)
        self.submit_new(operator, request)
        if self.in_flight:
            self.apply_batch(self.in_flight.pop())

    @rule(operator=_OPERATORS)
    def refresh(self, operator):
        copy = self.copies[operator]
        changes = self.table.changes(CONFIGURATION_PREFIX, copy.revision, 10**6)
        rows = [
            ConfigurationChange(row.key, row.revision, row.value)
            for row in changes.rows
        ]
        copy.apply(rows, changes.revision)

    @rule()
    def all_in_force(self):
        self.in_force_revision = self.table.revision
        self.memberships = {}

    @rule(group=_GROUPS, order=st.permutations(["abc", "bc", "abc"]))
    def databases_change_in_turn(self, group, order):
        for names in order:
            spec = group_spec(names)
            request = ChangeRequest(
                ChangeAction.PATCH, Kind.DATABASE_GROUP, group, spec
            )
            self.refresh(0)
            self.submit_new(0, request)
            if self.in_flight:
                self.apply_batch(self.in_flight.pop())

    @rule(operator=_OPERATORS, request=requests())
    def submit_new(self, operator, request):
        key = f"key-{len(self.requests)}"
        self.requests[key] = request
        self.plan(operator, key)

    @rule(operator=_OPERATORS, request=requests(), lag=st.integers(0, 1))
    def submit_with_version(self, operator, request, lag):
        current = self.copies[operator].find(request.kind, request.name)
        version = 0 if current is None else max(0, current.resource_version - lag)
        request = msgspec.structs.replace(request, expected_version=version)
        self.submit_new(operator, request)

    @rule(operator=_OPERATORS, pick=st.integers(0, 99))
    def submit_again(self, operator, pick):
        keys = list(self.requests)
        self.plan(operator, keys[pick % len(keys)])

    @rule(requests=st.lists(requests(), min_size=2, max_size=2))
    def two_race(self, requests):
        self.in_flight.clear()
        for operator in (0, 1):
            self.refresh(operator)
            self.submit_new(operator, requests[operator])
        while self.in_flight:
            self.apply_batch(self.in_flight.popleft())

    @rule(group=_GROUPS, name=_NAMES)
    def route_races_with_deletion_of_its_policy(self, group, name):
        policy = ChangeRequest(
            ChangeAction.CREATE, Kind.READ_POLICY, "x", {"max_age_ms": 1}
        )
        self.two_race([policy, policy])
        deletion = ChangeRequest(ChangeAction.DELETE, Kind.READ_POLICY, "x")
        spec = {"database": "d", "group": group, "read_policy": "x"}
        route = ChangeRequest(ChangeAction.CREATE, Kind.ROUTE, name, spec)
        self.two_race([deletion, route])

    @rule(name=_NAMES, deadline_ms=st.integers(2, 9))
    def drain_order_is_changed_while_it_is_deleted(self, name, deadline_ms):
        spec = {"group": "g", "database": "a", "deadline_ms": 1}
        create = ChangeRequest(ChangeAction.CREATE, Kind.DRAIN_ORDER, name, spec)
        self.two_race([create, create])
        self.refresh(1)
        current = self.copies[1].find(Kind.DRAIN_ORDER, name)
        version = None if current is None else current.resource_version
        patch = {"deadline_ms": deadline_ms}
        change = ChangeRequest(ChangeAction.PATCH, Kind.DRAIN_ORDER, name, patch)
        deletion = ChangeRequest(
            ChangeAction.DELETE, Kind.DRAIN_ORDER, name, None, version
        )
        self.two_race([change, deletion])

    @rule(database=st.sampled_from("de"))
    def routes_of_two_groups_race_for_a_database(self, database):
        self.has_group("h", 0)
        routes = [
            ChangeRequest(
                ChangeAction.CREATE,
                Kind.ROUTE,
                name,
                {"database": database, "group": group},
            )
            for name, group in ("xg", "yh")
        ]
        self.two_race(routes)

    @precondition(lambda self: self.in_flight)
    @rule(pick=st.integers(0, 5), is_doubled=st.booleans())
    def one_arrives(self, pick, is_doubled):
        batch = self.in_flight[pick % len(self.in_flight)]
        if not is_doubled:
            self.in_flight.remove(batch)
        self.apply_batch(batch)

    def plan(self, operator, key):
        request = self.requests[key]
        try:
            plan = plan_module.plan_change(
                self.copies[operator], request, self.in_force_revision
            )
        except ChangeError:
            return
        if plan.writes:
            writes = make_change_batch(request, plan, key)
            self.in_flight.append(Batch(key, request, writes))

    def apply_batch(self, batch):
        key = resource_key(batch.request.kind, batch.request.name)
        before = self.table.read(key)
        conditions = [
            Condition(write.key, write.expected_revision)
            for write in batch.writes
            if not self.drops_condition(write)
        ]
        try:
            self.table.batch(
                conditions, [Write(write.key, write.value) for write in batch.writes]
            )
        except PlatformConflict:
            return
        self.effects[batch.key] += 1
        assert_that(self.effects[batch.key], Equals(1))
        self.check_generation(batch, before, self.table.read(key))
        self.check_constraints()
        if batch.request.kind is Kind.DATABASE_GROUP:
            self.check_memberships(batch.request.name, before)

    def check_memberships(self, name, before):
        """Check that a group differs in at most one database from each earlier state.

        Earlier states are those since all instances had the table in force.
        """
        if before.value is None:
            self.memberships.pop(name, None)
            return
        seen = self.memberships.setdefault(name, [names_of(before)])
        spec = self.read_specs(Kind.DATABASE_GROUP).get(name)
        if spec is None:
            return
        names = {database["name"] for database in spec["databases"]}
        for earlier in seen:
            assert_that(earlier ^ names, Not(AfterPreprocessing(len, GreaterThan(1))))
        seen.append(names)

    def check_generation(self, batch, before, after):
        if batch.request.expected_version is not None:
            assert_that(before.revision, Equals(batch.request.expected_version))
        if after.value is None:
            return
        previous_generation = 0 if before.value is None else generation(before)
        assert_that(generation(after), Equals(previous_generation + 1))

    def check_constraints(self):
        specs = {kind: self.read_specs(kind) for kind in Kind}
        groups, routes = specs[Kind.DATABASE_GROUP], specs[Kind.ROUTE].values()
        orders = specs[Kind.DRAIN_ORDER].values()
        for route in routes:
            assert_that(groups.get(route["group"]), Not(Equals(None)))
            policies = ["", *specs[Kind.READ_POLICY]]
            assert_that(policies.count(route["read_policy"]), Equals(1))
        databases = [route["database"] for route in routes]
        assert_that(set(databases), HasLength(len(databases)))
        drained = [(order["group"], order["database"]) for order in orders]
        assert_that(set(drained), HasLength(len(drained)))
        for group, spec in groups.items():
            names = {database["name"] for database in spec["databases"]}
            left = names - {name for owner, name in drained if owner == group}
            assert_that(left, Not(HasLength(0)))
        assert_that({owner for owner, _ in drained} - set(groups), HasLength(0))

    def read_specs(self, kind):
        prefix = resource_key(kind, "")
        rows = self.table.changes(prefix, 0, 10**6).rows
        return {
            row.key[len(prefix) :]: msgspec.json.decode(row.value)["spec"]
            for row in rows
            if row.value is not None
        }


def names_of(row):
    spec = msgspec.json.decode(row.value)["spec"]
    return {database["name"] for database in spec["databases"]}


def generation(row):
    return msgspec.json.decode(row.value)["generation"]


def run_machine(
    example_count, phases=tuple(Phase), drops_condition=lambda write: False
):
    """Run the model, omitting the conditions for which ``drops_condition`` is true."""
    members = {"drops_condition": staticmethod(drops_condition)}
    machine = type("Machine", (OperatorsMachine,), members)
    chosen = settings(max_examples=example_count, stateful_step_count=40, phases=phases)
    run_state_machine_as_test(machine, settings=chosen)


def test_concurrent_changes_keep_resources_consistent():
    run_machine(100)


@pytest.mark.parametrize(
    "part", ["configuration/resource", "configuration/guard", "idempotency"]
)
def test_model_detects_batches_without_a_condition(part):
    with pytest.raises(MismatchError):
        run_machine(400, (Phase.generate,), lambda write: write.key.startswith(part))


_GUARDS = ["DatabaseGroup/", "ReadPolicy/", "route_database/"]


@pytest.mark.parametrize("guard", _GUARDS)
def test_model_detects_a_missing_guard(guard):
    prefix = f"configuration/guard/{guard}"
    with pytest.raises(MismatchError):
        run_machine(600, (Phase.generate,), lambda write: write.key.startswith(prefix))


@pytest.mark.parametrize("check", ["check_write", "check_delete", "_check_version"])
def test_model_detects_a_missing_check(monkeypatch, check):
    monkeypatch.setattr(plan_module, check, lambda *arguments: None)
    with pytest.raises(MismatchError):
        run_machine(400, (Phase.generate,))


def _ignore_membership(group, current, in_force_revision):
    """Allow any number of databases to change at once."""


def _ignore_what_is_in_force(group, current, in_force_revision):
    """Allow the next database to change before the last change is in force."""
    _CHECK_MEMBERSHIP(group, current, current.resource_version)


_CHECK_MEMBERSHIP = check_constraints._check_membership


@pytest.mark.parametrize("broken", [_ignore_membership, _ignore_what_is_in_force])
def test_model_detects_databases_that_change_too_fast(monkeypatch, broken):
    monkeypatch.setattr(check_constraints, "_check_membership", broken)
    with pytest.raises(MismatchError):
        run_machine(400, (Phase.generate,))

"""Tests of a table's copy: nothing goes back, and no follower misses a change."""

import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving import table_copy
from goldcrestpond.serving.row_store import StoredRow
from goldcrestpond.serving.table_copy import TableCopy

from .test_leadership import ms


def row(key, version, value=b"v"):
    return StoredRow("t", "", key, value, version)


class Follower:
    """A copy whose rows are those that its callbacks were given."""

    def __init__(self, **more):
        self.rows = {}
        self.copy = TableCopy("t", self._replace, self._update, **more)

    def _replace(self, rows):
        self.rows = {}
        self._update(rows)

    def _update(self, rows):
        for each in rows:
            if each.value is None:
                self.rows.pop(each.key, None)
            else:
                self.rows[each.key] = each.value

    def follow(self, source):
        """Ask another copy once; return whether it answered."""
        changes = source.copy.changes_after(self.copy.era, self.copy.version, ms(0))
        if changes is None:
            return False
        apply = self.copy.replace if changes.is_whole else self.copy.update
        return apply(changes.rows, changes.era, changes.version)


def test_older_rows_are_ignored():
    follower = Follower()
    follower.copy.replace([row("a", 5, b"new")], 2, 5)
    assert_that(follower.copy.replace([row("a", 4, b"old")], 2, 4), Is(False))
    assert_that(follower.copy.replace([row("a", 9, b"old")], 1, 9), Is(False))
    follower.copy.update([row("a", 3, b"old")], 2, 5)
    assert_that(follower.rows, Equals({"a": b"new"}))


def test_later_era_replaces_higher_versions():
    follower = Follower()
    follower.copy.replace([row("a", 9, b"old")], 1, 9)
    follower.copy.replace([row("a", 4, b"new")], 2, 4)
    assert_that(follower.rows, Equals({"a": b"new"}))


# A store that was restored from a copy has an older configuration than is in force; a
# follower that starts then must get the one in force.
def test_newer_value_is_kept_and_passed_on_in_a_later_era():
    source, follower = Follower(is_older=lambda known, new: new < known), Follower()
    source.copy.replace([row("a", 9, b"2")], 1, 9)
    source.copy.replace([row("a", 4, b"1")], 2, 4)
    follower.follow(source)
    assert_that(follower.rows, Equals({"a": b"2"}))
    assert_that(source.copy.changes_after(2, 4, ms(0)).rows, Equals([]))
    source.copy.update([row("a", 5, b"3")], 2, 5)
    follower.follow(source)
    assert_that(follower.rows, Equals({"a": b"3"}))


def test_source_of_an_earlier_era_has_nothing_to_say():
    source, follower = Follower(), Follower()
    source.copy.replace([row("a", 9)], 1, 9)
    follower.copy.replace([], 2, 3)
    assert_that(follower.follow(source), Is(False))


def test_heartbeats_are_not_passed_on():
    source = Follower(is_same=lambda old, new: old[:1] == new[:1])
    source.copy.replace([row("a", 1, b"x1")], 1, 1)
    source.copy.update([row("a", 2, b"x2")], 1, 2)
    assert_that(source.copy.changes_after(1, 1, ms(0)).rows, Equals([]))
    source.copy.update([row("a", 3, b"y3")], 1, 3)
    [changed] = source.copy.changes_after(1, 1, ms(0)).rows
    assert_that(changed.value, Equals(b"y3"))


def test_age_counts_from_the_latest_confirmation():
    copy = Follower().copy
    assert_that(copy.age(ms(5)), Is(None))
    copy.confirm(ms(10))
    copy.confirm(ms(4))
    assert_that(copy.age(ms(30)), Equals(ms(20)))


# A change that a handler failed on was never delivered again.
def test_table_is_read_again_after_a_handler_failed():
    def fail(rows):
        raise KeyError

    copy = TableCopy("t", lambda rows: None, fail)
    copy.replace([], 1, 1)
    with pytest.raises(KeyError):
        copy.update([row("a", 2)], 1, 2)
    assert_that(copy.version, Is(None))


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "remove", "read", "follow", "restore", "save"]),
        st.integers(0, 3),
    ),
    max_size=60,
)


class _Store:
    def __init__(self):
        self.rows, self.version, self.era = {}, 1, 1
        self.history = []
        self._saved = ({}, 1)

    def write(self, key, value):
        self.version += 1
        self.history.append(row(key, self.version, value))
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = row(key, self.version, value)

    def save(self):
        self._saved = (dict(self.rows), self.version)

    def restore(self):
        self.rows, self.version = dict(self._saved[0]), self._saved[1]
        self.history, self.era = [], self.era + 1

    def values(self):
        return {key: each.value for key, each in self.rows.items()}


def _read(store, reader):
    """Read the store as a feed does; the whole table in a new era."""
    copy = reader.copy
    if copy.version is None or copy.era != store.era:
        copy.replace(list(store.rows.values()), store.era, store.version)
    else:
        rows = [each for each in store.history if each.version > copy.version]
        copy.update(rows, store.era, store.version)


def _run_steps(steps):
    store, copies = _Store(), [Follower() for _ in range(4)]
    for step, number in steps:
        match step:
            case "put":
                store.write(f"k{number}", f"{store.era}.{store.version}".encode())
            case "remove":
                store.write(f"k{number}", None)
            case "read":
                _read(store, copies[number])
            case "follow":
                copies[number].follow(copies[number - 1])
            case "restore":
                store.restore()
            case "save":
                store.save()
    return store, copies


@given(_STEPS)
def test_copies_agree_whoever_read_and_whoever_followed(steps):
    store, copies = _run_steps(steps)
    before = [(each.copy.era, each.copy.version or 0) for each in copies]
    _read(store, copies[0])
    for source, follower in zip(copies, copies[1:], strict=False):
        follower.follow(source)
    for copy, known in zip(copies, before, strict=True):
        assert_that(copy.rows, Equals(store.values()))
        assert_that((copy.copy.era, copy.copy.version) >= known, Is(True))


@given(_STEPS)
def test_copies_agree_if_most_removals_were_forgotten(steps):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(table_copy, "REMOVAL_LIMIT_ROWS", 1)
        store, copies = _run_steps(steps)
        _read(store, copies[0])
        for source, follower in zip(copies, copies[1:], strict=False):
            follower.follow(source)
            assert_that(follower.rows, Equals(store.values()))


# The reader lost the store's history and read the table again: all followers were sent
# whole tables, also those that lacked nothing.
def test_table_read_again_in_its_era_is_passed_on_as_changes():
    source, follower = Follower(), Follower()
    source.copy.replace([row("a", 1), row("b", 2)], 1, 2)
    follower.follow(source)
    source.copy.replace([row("a", 1), row("c", 5)], 1, 6)
    changes = source.copy.changes_after(1, 2, ms(0))
    assert_that([each.key for each in changes.rows], Equals(["c", "b"]))
    assert_that(changes.is_whole, Is(False))
    follower.follow(source)
    assert_that(set(follower.rows), Equals({"a", "c"}))

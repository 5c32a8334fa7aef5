"""Setting the session values of a caller on a link."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.apply_session_values import find_values_to_set


def test_changed_values_are_set_and_removed_ones_need_a_reset():
    assert_that(find_values_to_set({"a": "1"}, {"a": "1"}), Equals({}))
    assert_that(
        find_values_to_set({"a": "1"}, {"a": "2", "b": "3"}),
        Equals({"a": "2", "b": "3"}),
    )
    assert_that(find_values_to_set({"a": "1"}, {}), Is(None))

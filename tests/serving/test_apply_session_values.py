"""What brings a link in line with a session."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.apply_session_values import find_values_to_set


def test_values_are_set_or_reset():
    assert_that(find_values_to_set({"a": "1"}, {"a": "1"}), Equals({}))
    assert_that(
        find_values_to_set({"a": "1"}, {"a": "2", "b": "3"}),
        Equals({"a": "2", "b": "3"}),
    )
    assert_that(find_values_to_set({"a": "1"}, {}), Is(None))

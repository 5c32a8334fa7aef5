"""Whether a replica is expected to have reached a log position."""

from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.replica_progress import INITIAL_BACKOFF, ReplicaProgress

from .test_leadership import ms


def test_lagging_replica_is_not_asked_for_positions_that_it_lacks():
    progress = ReplicaProgress()
    progress.record_answer(LogPosition(1, 5), epoch=1)
    progress.record_missing_position(LogPosition(1, 6), 1, ms(0))
    assert_that(progress.may_have_reached(LogPosition(1, 5), 1, ms(1)), Is(True))
    assert_that(progress.may_have_reached(LogPosition(1, 6), 1, ms(1)), Is(False))
    assert_that(
        progress.may_have_reached(LogPosition(1, 6), 1, INITIAL_BACKOFF), Is(True)
    )


def test_position_of_an_earlier_epoch_does_not_count():
    progress = ReplicaProgress()
    progress.record_answer(LogPosition(1, 9), epoch=1)
    progress.record_missing_position(LogPosition(2, 5), 2, ms(0))
    assert_that(progress.may_have_reached(LogPosition(2, 5), 2, ms(1)), Is(False))

"""When each holder of a database that has just been listed begins to use it."""

from datetime import timedelta

FIRST_HOLDERS_COUNT = 2  # begin at once: one that is down doesn't leave it idle
# About two rounds of answers. The holders see no common counter, so that time stands in
# for the rounds of the whole group.
HOLDERS_DOUBLING_TIME = timedelta(milliseconds=100)
MAX_START_DELAY = timedelta(milliseconds=400)


def compute_start_delay(rank: int) -> timedelta:
    """Return how long a holder waits before its first operation.

    The number of holders that have begun doubles every ``HOLDERS_DOUBLING_TIME``.

    Parameters
    ----------
    rank : int
        Position of the holder among the holders of the service, from 0; all of them
        know the same order.
    """
    doubling_count = (rank // FIRST_HOLDERS_COUNT).bit_length()
    return min(MAX_START_DELAY, doubling_count * HOLDERS_DOUBLING_TIME)

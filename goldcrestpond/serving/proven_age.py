"""Whether a table is proven to be young enough to decide about organisations."""

from collections.abc import Callable
from datetime import timedelta

# An age is the sum of spans that up to four instances measured, each on a clock that
# counts suspension. If each clock is wrong by at most a fraction ``e`` of a span, the
# true age is at most ``age / (1 - e)``. It must stay below the limit within which a
# change must be known, so ages are accepted below ``1 - e`` of that limit. Clocks of
# machines drift by less than 0.001 and are disciplined by up to 0.0005; 0.1 also
# covers one whose oscillator is faulty.
PROOF_FRACTION = 0.9


class ProvenAge:
    """Tells whether a table is younger than a limit.

    Parameters
    ----------
    limit : timedelta or None
        Age from which on the table proves nothing; None if any age will do.
    read_age : callable
        Returns the age of the table; None if it is not known.

    Attributes
    ----------
    limit : timedelta or None
        See above; replaced when the settings change.
    """

    __slots__ = ("_read_age", "limit")

    def __init__(
        self, limit: timedelta | None, read_age: Callable[[], timedelta | None]
    ):
        self.limit = limit
        self._read_age = read_age

    def age(self) -> timedelta | None:
        """Return the age of the table; None if it is not known."""
        return self._read_age()

    def is_proven(self) -> bool:
        """Return whether the table is younger than the limit, or there is none."""
        if self.limit is None:
            return True
        age = self._read_age()
        return age is not None and age < self.limit


def compute_proof_limit(revoke_limit: timedelta) -> timedelta | None:
    """Return the age from which on a table proves nothing.

    It is `PROOF_FRACTION` of the limit, which leaves room for the errors of the clocks
    by which the age was measured.

    Parameters
    ----------
    revoke_limit : timedelta
        Time after which a withdrawn key must be out of use on every instance; zero if
        there is no such limit.

    Returns
    -------
    timedelta or None
        None if there is no limit.
    """
    return revoke_limit * PROOF_FRACTION if revoke_limit else None

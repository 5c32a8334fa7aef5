"""Chooses the replica of a group that serves a read."""

import random
from collections.abc import Collection
from datetime import timedelta

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..group.role import Role
from ..routing.choose_replica import choose_replica
from ..routing.database_load import DatabaseLoad
from ..routing.estimate_wait import estimate_wait
from ..routing.lag_estimate import LagEstimate
from ..routing.position_samples import PositionSamples
from ..routing.read_bound import ReadBound
from ..routing.replica_state import ReplicaState
from ..routing.replica_wait import estimate_replica_wait, should_wait_for_replica
from ..session.position_state import PositionState
from ..session.resolve_position import resolve_position
from ..term.group_view import GroupView
from ..term.status_sample import StatusSample
from ..term.term_start import TermStart

# Assumed for a database whose load has not been reported yet.
_UNREPORTED_LOAD = DatabaseLoad(idle_connections=1)


class ReplicaRouter:
    """Chooses replicas of one group by the age of their data, their lag and load.

    Attributes
    ----------
    draining : collection of str
        Databases that are being drained; they are not chosen.

    Parameters
    ----------
    view : GroupView
        Newest status of each database.
    is_same_availability_zone : dict of str to bool
        For each database, whether it is in this instance's availability zone.
    rng : random.Random
        Chooses between equally good replicas.
    """

    __slots__ = (
        "_is_same_availability_zone",
        "_lags",
        "_loads",
        "_position_samples",
        "_rng",
        "_term_starts",
        "_view",
        "draining",
    )

    def __init__(
        self,
        view: GroupView,
        is_same_availability_zone: dict[str, bool],
        rng: random.Random,
    ):
        self._view = view
        self._is_same_availability_zone = is_same_availability_zone
        self._rng = rng
        self._position_samples = PositionSamples()
        self._lags = {name: LagEstimate() for name in view.databases}
        self._loads: dict[str, DatabaseLoad] = {}
        self._term_starts: dict[int, TermStart] = {}
        self.draining: Collection[str] = frozenset()

    def report_load(self, database: str, load: DatabaseLoad) -> None:
        """Record how busy a database is."""
        self._loads[database] = load

    def record_term_start(self, start: TermStart) -> None:
        """Record the log position at which a term starts."""
        self._term_starts[start.term] = start

    def observe(self, sample: StatusSample, now: timedelta) -> None:
        """Update ages and lags from a sample that has been added to the view."""
        verified = self._view.verified_sample()
        if verified is not None:
            self._position_samples.add(verified)
        status = sample.status
        if status.role is Role.PRIMARY and not status.fenced:
            self.record_term_start(TermStart(status.term, status.term_start_position))
        fresh_as_of = self._position_samples.fresh_as_of(
            status.term, status.replayed_position
        )
        if status.role is Role.REPLICA and fresh_as_of is not None:
            self._lags[status.database].observe(
                max(sample.sent_at - fresh_as_of, timedelta(0))
            )

    def choose(
        self,
        min_position: LogPosition | None,
        max_age: timedelta | None,
        now: timedelta,
    ) -> str | None:
        """Return the name of a replica that may serve a read now, or None.

        Parameters
        ----------
        min_position : LogPosition or None
            Least log position that the read must show.
        max_age : timedelta or None
            Greatest age of the data that the read may show.
        now : timedelta
            Monotonic time.
        """
        bound = self._read_bound(min_position, max_age)
        if bound is None:
            return None
        state = choose_replica(self._replica_states(), bound, now, self._rng)
        return None if state is None else state.database

    def compute_worthwhile_wait(
        self,
        min_position: LogPosition | None,
        max_age: timedelta | None,
        now: timedelta,
    ) -> timedelta | None:
        """Return how long to wait for a replica; None to use the primary instead.

        Parameters
        ----------
        min_position, max_age, now
            See ``choose``.
        """
        bound = self._read_bound(min_position, max_age)
        primary = self._view.primary()
        if bound is None or primary is None:
            return None
        written_at = now
        if bound.min_position is not None:
            written_at = (
                self._position_samples.reached_at(
                    primary.status.term, bound.min_position
                )
                or now
            )
        wait = estimate_replica_wait(self._replica_states(), bound, written_at, now)
        if not should_wait_for_replica(
            wait, self._estimate_wait(primary.status.database)
        ):
            return None
        return wait

    def check_token(self, position: LogPosition) -> None:
        """Check that the present primary's log contains a position.

        Raises
        ------
        CodedError
            TOKEN_BEYOND_HISTORY if it does not: the position's term ended before it.
        """
        primary = self._view.primary()
        if primary is None:
            return
        resolved = resolve_position(
            position, primary.status.term, self._term_starts.values()
        )
        if resolved.state is PositionState.LOST:
            raise CodedError(
                ResultCode.TOKEN_BEYOND_HISTORY,
                f"{position} is past the end of its term",
            )

    def _read_bound(
        self, min_position: LogPosition | None, max_age: timedelta | None
    ) -> ReadBound | None:
        primary = self._view.primary()
        if primary is None:
            return None
        if min_position is None:
            return ReadBound(None, max_age)
        resolved = resolve_position(
            min_position, primary.status.term, self._term_starts.values()
        )
        if resolved.state is PositionState.TERM_UNKNOWN:
            return None
        return ReadBound(resolved.position, max_age)

    def _replica_states(self) -> list[ReplicaState]:
        primary = self._view.primary()
        if primary is None:
            return []
        term = primary.status.term
        return [
            self._replica_state(sample)
            for sample in self._view.samples()
            if sample.status.role is Role.REPLICA
            and sample.status.term == term
            and sample.status.database not in self.draining
        ]

    def _replica_state(self, sample: StatusSample) -> ReplicaState:
        status = sample.status
        return ReplicaState(
            database=status.database,
            replayed_position=status.replayed_position,
            fresh_as_of=self._position_samples.fresh_as_of(
                status.term, status.replayed_position
            ),
            wait=self._estimate_wait(status.database),
            lag=self._lags[status.database].mean,
        )

    def _estimate_wait(self, database: str) -> timedelta:
        load = self._loads.get(database, _UNREPORTED_LOAD)
        return estimate_wait(
            load, is_same_availability_zone=self._is_same_availability_zone[database]
        )

"""What one instance knows of the configuration, and whether it may rely on it."""

import random
from datetime import timedelta

from .configuration_change import ConfigurationChange
from .configuration_delta import ConfigurationDelta
from .configuration_snapshot import ConfigurationSnapshot

ConfigurationUpdate = ConfigurationDelta | ConfigurationSnapshot

# An instance that did not run for longer than this may have missed changes
# that its peers already serve.
PAUSE_LIMIT = timedelta(seconds=10)
# Changes kept for deltas; a holder that misses more gets a snapshot.
MAX_LOGGED_CHANGES = 1024
_EPOCH_BITS = 48


class ConfigurationState:
    """Rows of one revision, moved to higher revisions only.

    An instance is confirmed when the table or a confirmed peer has answered a
    question that was asked after its start and after its last pause. Until
    then it neither serves its revision nor gives it to peers.

    Parameters
    ----------
    now : timedelta
        Monotonic reading.
    rng : random.Random
        Source of the first epoch, seeded differently in each process: an
        answer to a former process at the same address does not confirm.

    Attributes
    ----------
    revision : int
        Revision of the newest change held; 0 for none.
    epoch : int
        Number of the time since the start or the last pause; a question
        carries it, and its answer confirms only if it is still the same.
    is_confirmed : bool
        True if the revision may be served and given to peers.
    """

    __slots__ = (
        "_last_observed_at",
        "_log",
        "_log_base_revision",
        "_rows",
        "epoch",
        "is_confirmed",
        "revision",
    )

    def __init__(self, now: timedelta, rng: random.Random):
        self.revision = 0
        self.epoch = rng.getrandbits(_EPOCH_BITS)
        self.is_confirmed = False
        self._last_observed_at = now
        self._rows: dict[str, ConfigurationChange] = {}
        self._log: dict[str, ConfigurationChange] = {}
        self._log_base_revision = 0

    @property
    def rows(self) -> dict[str, ConfigurationChange]:
        """Rows that exist, by key."""
        return self._rows

    def observe_time(self, now: timedelta) -> None:
        """Note that the instance runs; call it often and before each use.

        A reading far from the one before means that the instance was paused:
        it is no longer confirmed.
        """
        if abs(now - self._last_observed_at) > PAUSE_LIMIT:
            self.epoch += 1
            self.is_confirmed = False
        self._last_observed_at = now

    def apply_answer(
        self,
        epoch: int,
        revision: int,
        update: ConfigurationUpdate | None,
        is_confirmed: bool,
    ) -> bool:
        """Take the answer of the table or of a peer to a question.

        Parameters
        ----------
        epoch : int
            Epoch at which the question was asked.
        revision : int
            Revision of the answerer. It may have chosen the update for a
            former process at this address, which knew more.
        update : ConfigurationDelta or ConfigurationSnapshot or None
            What leads this state to the answerer's; None if it needs nothing.
        is_confirmed : bool
            True for the table, or if the peer was confirmed when it answered.

        Returns
        -------
        bool
            True if the revision moved.
        """
        has_advanced = update is not None and self.apply(update)
        if is_confirmed and self.revision >= revision:
            self._confirm(epoch)
        return has_advanced

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Move to the update's revision if it is higher and has no gap.

        Returns
        -------
        bool
            True if the revision moved.
        """
        if update.revision <= self.revision:
            return False
        if isinstance(update, ConfigurationSnapshot):
            self._replace_rows(update)
            return True
        if update.base_revision > self.revision:
            return False
        self._apply_changes(update)
        return True

    def make_update_after(self, revision: int) -> ConfigurationUpdate | None:
        """Return what leads a holder of ``revision`` to this one.

        Returns
        -------
        ConfigurationDelta or ConfigurationSnapshot or None
            None if the holder needs nothing or this state is not confirmed.
        """
        if not self.is_confirmed or revision >= self.revision:
            return None
        if revision < self._log_base_revision:
            return ConfigurationSnapshot(self.revision, list(self._rows.values()))
        changes = [entry for entry in self._log.values() if entry.revision > revision]
        return ConfigurationDelta(revision, self.revision, changes)

    def _replace_rows(self, snapshot: ConfigurationSnapshot) -> None:
        self._rows = {change.key: change for change in snapshot.changes}
        self._log = {}
        self._log_base_revision = snapshot.revision
        self.revision = snapshot.revision

    def _apply_changes(self, delta: ConfigurationDelta) -> None:
        for change in sorted(delta.changes, key=lambda change: change.revision):
            if change.revision > self.revision:
                self._apply_change(change)
        self.revision = delta.revision
        while len(self._log) > MAX_LOGGED_CHANGES:
            self._drop_oldest_logged()

    def _apply_change(self, change: ConfigurationChange) -> None:
        self._log.pop(change.key, None)
        self._log[change.key] = change
        if change.value is None:
            self._rows.pop(change.key, None)
        else:
            self._rows[change.key] = change

    def _drop_oldest_logged(self) -> None:
        oldest_key = next(iter(self._log))
        self._log_base_revision = self._log.pop(oldest_key).revision

    def _confirm(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.is_confirmed = True

"""Configuration rows that one instance has, and whether they are confirmed."""

import random
from datetime import timedelta

from .configuration_change import ConfigurationChange
from .configuration_delta import ConfigurationDelta
from .configuration_snapshot import ConfigurationSnapshot

ConfigurationUpdate = ConfigurationDelta | ConfigurationSnapshot

# After a longer pause, an instance may have missed changes that its peers
# already serve.
PAUSE_LIMIT = timedelta(seconds=10)
# Changes kept for deltas; an instance that lacks more of them gets a snapshot.
MAX_LOGGED_CHANGES = 1024
_EPOCH_BITS = 48


class ConfigurationState:
    """Rows of one revision, which only rises.

    The state is confirmed once the table or a confirmed peer has answered a
    request that was sent after the instance's start and after its last pause.
    An unconfirmed revision is neither served nor given to peers.

    Parameters
    ----------
    now : timedelta
        Monotonic time.
    rng : random.Random
        Source of the first epoch, seeded differently in each process so that
        an answer to a previous process at the same address confirms nothing.

    Attributes
    ----------
    revision : int
        Revision of the newest change that was applied; 0 for none.
    epoch : int
        Number that rises with each pause. A request carries it, and the answer
        confirms the state only if the epoch is still the same.
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
        """Existing rows by key."""
        return self._rows

    def observe_time(self, now: timedelta) -> None:
        """Detect pauses of the instance; call it often and before each use.

        If the time is further than ``PAUSE_LIMIT`` from that of the previous
        call, the instance was paused and is no longer confirmed.
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
        """Apply the answer of the table or of a peer to a request.

        Parameters
        ----------
        epoch : int
            Epoch at which the request was sent.
        revision : int
            Revision of the table or peer that answered. The update may lead to
            it from a later revision than this one: a peer may take this
            process for a previous one at the same address.
        update : ConfigurationDelta or ConfigurationSnapshot or None
            Changes that this state lacks; None if it lacks none.
        is_confirmed : bool
            True for the table, or if the peer was confirmed when it answered.

        Returns
        -------
        bool
            True if the revision rose.
        """
        has_advanced = update is not None and self.apply(update)
        if is_confirmed and self.revision >= revision:
            self._confirm(epoch)
        return has_advanced

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Apply an update to a higher revision, unless changes before it are missing.

        Returns
        -------
        bool
            True if the revision rose.
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
        """Return the update from ``revision`` to the revision of this state.

        Returns
        -------
        ConfigurationDelta or ConfigurationSnapshot or None
            None if ``revision`` is not lower or this state is not confirmed.
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

"""Holds a configuration state without the shell around it."""

from datetime import timedelta

from goldcrestpond.configuration.configuration_state import (
    ConfigurationState,
    ConfigurationUpdate,
)


class StateHolder:
    """Configuration of one member of a loop.

    Parameters
    ----------
    now : timedelta
        Monotonic reading.

    Attributes
    ----------
    now : timedelta
        Reading at which the state is used next.
    reverts : int
        Count of moves to a lower revision.
    """

    __slots__ = ("_state", "now", "reverts")

    def __init__(self, now: timedelta):
        self._state = ConfigurationState(now)
        self.now = now
        self.reverts = 0

    @property
    def state(self) -> ConfigurationState:
        """The state, with the present time noted in it."""
        self._state.observe_time(self.now)
        return self._state

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Apply an update."""
        before = self._state.revision
        moved = self.state.apply(update)
        self.reverts += self._state.revision < before
        return moved

    def confirm(self, epoch: int) -> None:
        """Note that a question asked at ``epoch`` was answered."""
        self.state.confirm(epoch)

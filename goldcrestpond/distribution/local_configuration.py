"""The configuration of this process, as its distribution uses it."""

from typing import Protocol

from ..configuration.configuration_state import ConfigurationState, ConfigurationUpdate


class LocalConfiguration(Protocol):
    """Holds the configuration state and notifies the process of changes."""

    @property
    def state(self) -> ConfigurationState:
        """The configuration state, updated to the present time."""

    def apply_answer(
        self,
        epoch: int,
        revision: int,
        update: ConfigurationUpdate | None,
        is_confirmed: bool,
    ) -> object:
        """Apply a peer's answer, as `ConfigurationState.apply_answer` does."""

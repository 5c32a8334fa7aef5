"""Counts how often a proxy's configuration goes back."""

from ..configuration.configuration import Configuration


class RevertCounter:
    """Compares successive configurations of one proxy.

    Parameters
    ----------
    policy : str
        Name of a read policy whose ``max_age_ms`` is only ever raised.

    Attributes
    ----------
    revert_count : int
        Times that the revision did not rise or ``max_age_ms`` of the policy fell.
    """

    __slots__ = ("_max_age_ms", "_policy", "_revision", "revert_count")

    def __init__(self, policy: str):
        self._policy = policy
        self._revision = 0
        self._max_age_ms = 0
        self.revert_count = 0

    def record_configuration(self, configuration: Configuration) -> None:
        """Compare the next configuration with the one before it."""
        spec = configuration.read_policies.get(self._policy)
        max_age_ms = 0 if spec is None else spec.max_age_ms
        has_reverted = (
            configuration.revision <= self._revision or max_age_ms < self._max_age_ms
        )
        self.revert_count += has_reverted
        self._revision = configuration.revision
        self._max_age_ms = max_age_ms

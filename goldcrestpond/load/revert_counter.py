"""Counts configurations that went back."""

from ..configuration.configuration import Configuration


class RevertCounter:
    """Follows one proxy's configurations.

    Parameters
    ----------
    policy : str
        Name of a read policy whose ``max_age_ms`` operators only raise.

    Attributes
    ----------
    revert_count : int
        Times that the revision or the content went back.
    """

    __slots__ = ("_max_age_ms", "_policy", "_revision", "revert_count")

    def __init__(self, policy: str):
        self._policy = policy
        self._revision = 0
        self._max_age_ms = 0
        self.revert_count = 0

    def record_configuration(self, configuration: Configuration) -> None:
        """Take the next configuration in."""
        spec = configuration.read_policies.get(self._policy)
        max_age_ms = 0 if spec is None else spec.max_age_ms
        has_reverted = (
            configuration.revision <= self._revision or max_age_ms < self._max_age_ms
        )
        self.revert_count += has_reverted
        self._revision = configuration.revision
        self._max_age_ms = max_age_ms

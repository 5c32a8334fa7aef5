"""Builds a `Configuration` from table rows."""

from collections.abc import Iterable

from .configuration import Configuration
from .configuration_change import ConfigurationChange
from .kind import Kind
from .resource import Resource
from .stored_resource import decode_resource_row


class ConfigurationBuilder:
    """Builds configurations, decoding only rows that changed since the last build.

    Attributes
    ----------
    resources : dict of str to Resource
        Resources by table key, as of the last build.
    unreadable_keys : list of str
        Keys of rows that this version can't decode, as of the last build.
    """

    __slots__ = ("resources", "unreadable_keys")

    def __init__(self) -> None:
        self.resources: dict[str, Resource] = {}
        self.unreadable_keys: list[str] = []

    def build(
        self, revision: int, changes: Iterable[ConfigurationChange]
    ) -> Configuration:
        """Return the configuration that consists of these rows."""
        self.unreadable_keys = []
        previous = self.resources
        self.resources = {}
        for change in changes:
            self._add(change, previous.get(change.key))
        return _to_configuration(revision, self.resources.values())

    def _add(self, change: ConfigurationChange, previous: Resource | None) -> None:
        if previous is not None and previous.resource_version == change.revision:
            self.resources[change.key] = previous
            return
        try:
            self.resources[change.key] = decode_resource_row(change)
        except ValueError:
            self.unreadable_keys.append(change.key)


def _to_configuration(revision: int, resources: Iterable[Resource]) -> Configuration:
    configuration = Configuration(revision)
    by_kind = {
        Kind.DATABASE_GROUP: configuration.groups,
        Kind.READ_POLICY: configuration.read_policies,
        Kind.DRAIN_ORDER: configuration.drain_orders,
    }
    for resource in resources:
        if resource.kind is Kind.ROUTE:
            configuration.routes[resource.spec.database] = resource.spec
        else:
            by_kind[resource.kind][resource.name] = resource.spec
    return configuration

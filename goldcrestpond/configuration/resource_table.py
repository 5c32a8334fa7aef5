"""All resources and guards as of one revision of the table."""

from collections import deque
from collections.abc import Iterable

from .configuration_change import ConfigurationChange
from .keys import RESOURCE_PREFIX, resource_key
from .kind import Kind
from .resource import Resource
from .stored_resource import decode_resource_row

# Versions of a resource that are remembered, to find the one that is in force
# on every instance.
_MAX_REMEMBERED_VERSIONS = 8


class ResourceTable:
    """Rows under the configuration's prefix, as of one revision.

    Attributes
    ----------
    revision : int
        Revision of the table up to which the rows are complete.
    """

    __slots__ = ("_history", "_resources", "_revisions", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._revisions: dict[str, int] = {}
        self._resources: dict[str, Resource] = {}
        self._history: dict[str, deque[Resource]] = {}

    def apply(self, changes: Iterable[ConfigurationChange], revision: int) -> None:
        """Apply all changes between the current revision and a later one."""
        for change in changes:
            self._apply_change(change)
        self.revision = max(self.revision, revision)

    def find(self, kind: Kind, name: str) -> Resource | None:
        """Return a resource, or None."""
        return self._resources.get(resource_key(kind, name))

    def list_kind(self, kind: Kind) -> list[Resource]:
        """Return the resources of a kind, sorted by name."""
        found = [entry for entry in self._resources.values() if entry.kind is kind]
        return sorted(found, key=lambda resource: resource.name)

    def find_revision(self, key: str) -> int:
        """Return the revision of a row, 0 if there is none."""
        return self._revisions.get(key, 0)

    def find_generation_at(self, kind: Kind, name: str, revision: int) -> int:
        """Return the generation that a resource had at a revision.

        Returns
        -------
        int
            0 if the resource did not exist or that version is no longer remembered.
        """
        versions = self._history.get(resource_key(kind, name), ())
        known = [entry for entry in versions if entry.resource_version <= revision]
        return known[-1].generation if known else 0

    def _apply_change(self, change: ConfigurationChange) -> None:
        if change.revision <= self.revision:
            return
        self._resources.pop(change.key, None)
        if change.value is None:
            self._revisions.pop(change.key, None)
            self._history.pop(change.key, None)
            return
        self._revisions[change.key] = change.revision
        if change.key.startswith(RESOURCE_PREFIX):
            self._add_resource(change)

    def _add_resource(self, change: ConfigurationChange) -> None:
        try:
            resource = decode_resource_row(change)
        except ValueError:
            # Written by a later version of the program. The resource is not
            # shown, but its key can't be used for a new one.
            return
        self._resources[change.key] = resource
        versions = self._history.setdefault(
            change.key, deque(maxlen=_MAX_REMEMBERED_VERSIONS)
        )
        versions.append(resource)

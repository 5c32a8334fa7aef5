"""Tracks which resources were sent to one watcher."""

from ..configuration.kind import Kind
from ..configuration.resource import Resource
from ..configuration.resource_table import ResourceTable
from .resource_body import make_resource_body
from .resource_status import ResourceStatus
from .status_reader import StatusReader
from .watch_line import WatchLine


class WatchState:
    """Compares the resources of a kind with what was last sent to a watcher.

    Parameters
    ----------
    kind : Kind
        Kind that is watched.
    table : ResourceTable
        All resources.
    status_reader : StatusReader
        Computes the status of a resource.
    """

    __slots__ = ("_is_synced", "_kind", "_sent", "_status_reader", "_table")

    def __init__(self, kind: Kind, table: ResourceTable, status_reader: StatusReader):
        self._kind = kind
        self._table = table
        self._status_reader = status_reader
        self._sent: dict[str, tuple[int, ResourceStatus]] = {}
        self._is_synced = False

    def collect_new_lines(self) -> list[WatchLine]:
        """Return the lines for all changes that were not sent to the watcher yet."""
        present = {entry.name: entry for entry in self._table.list_kind(self._kind)}
        gone = [name for name in self._sent if name not in present]
        for name in gone:
            del self._sent[name]
        revision = self._table.revision
        lines = [WatchLine("delete", name, revision) for name in gone]
        for resource in present.values():
            lines += self._make_changed_line(resource)
        if not self._is_synced:
            lines.append(WatchLine("synced", resource_version=revision))
            self._is_synced = True
        return lines

    def _make_changed_line(self, resource: Resource) -> list[WatchLine]:
        status = self._status_reader.read(resource)
        state = (resource.resource_version, status)
        if self._sent.get(resource.name) == state:
            return []
        self._sent[resource.name] = state
        body = make_resource_body(resource, status)
        return [WatchLine("put", resource.name, resource.resource_version, body)]

"""The platform's service as the other parts see it."""

from collections.abc import Sequence
from typing import Protocol

from .changes import Changes
from .condition import Condition
from .instance_entry import InstanceEntry
from .row import Row
from .write import Write


class Platform(Protocol):
    """Table service, object store and instance list.

    Every method raises ``CodedError`` PLATFORM_UNAVAILABLE if no answer came;
    a write may have taken effect then, and may still take effect later.
    Conditional writes raise ``PlatformConflict`` and write nothing if a row
    has another revision than expected; revision 0 means "no row".
    """

    async def read(self, key: str) -> Row | None:
        """Return the row of a key, or None."""

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write one row and return its new revision."""

    async def delete(self, key: str, expected_revision: int) -> int:
        """Delete one row and return the revision of the deletion."""

    async def batch(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Write all rows or none.

        Returns
        -------
        int
            Revision of the last write; the writes have consecutive revisions
            in their order.
        """

    async def changes(self, prefix: str, after_revision: int, limit: int) -> Changes:
        """Return rows under a prefix that changed after a revision."""

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None."""

    async def instances(self) -> list[InstanceEntry]:
        """Return the platform's lagging list of instances."""

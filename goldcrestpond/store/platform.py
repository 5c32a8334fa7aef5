"""Interface to the platform's services."""

from collections.abc import Sequence
from typing import Protocol

from .changes import Changes
from .condition import Condition
from .instance_entry import InstanceEntry
from .row import Row
from .write import Write


class Platform(Protocol):
    """Table service, object store and list of instances.

    Every method raises ``CodedError`` PLATFORM_UNAVAILABLE if no answer arrives;
    a write may then have taken effect, or may still take effect later.
    Conditional writes raise ``PlatformConflict`` and write nothing if a row
    does not have the expected revision; revision 0 means that there is no row.
    """

    async def read(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none."""

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
            Revision of the last write; the writes get consecutive revisions in
            the given order.
        """

    async def changes(self, prefix: str, after_revision: int, limit: int) -> Changes:
        """Return rows under a prefix that changed after a revision."""

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""

    async def instances(self) -> list[InstanceEntry]:
        """Return the platform's list of instances, which lags behind."""

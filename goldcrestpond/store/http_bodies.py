"""JSON bodies of the platform's HTTP interface."""

import msgspec

from .condition import Condition
from .row import Row

JSON_NULL = b"null"


class RowBody(msgspec.Struct):
    """A row whose value is embedded as JSON."""

    key: str
    value: msgspec.Raw
    revision: int

    @classmethod
    def from_row(cls, row: Row) -> "RowBody":
        """Return the body that represents a row."""
        return cls(row.key, embed_value(row.value), row.revision)

    def to_row(self) -> Row:
        """Return the row; a ``null`` value becomes None."""
        value = bytes(self.value)
        return Row(self.key, None if value == JSON_NULL else value, self.revision)


class RevisionBody(msgspec.Struct):
    """Answer to a write: the new revision."""

    revision: int


class RowsBody(msgspec.Struct):
    """Rows that did not meet the conditions of a batch."""

    rows: list[RowBody]


class ChangesBody(msgspec.Struct):
    """Answer to a read of the rows that changed after a revision."""

    revision: int
    rows: list[RowBody]


class WriteBody(msgspec.Struct):
    """One write of a transactional batch."""

    key: str
    value: msgspec.Raw


class BatchBody(msgspec.Struct):
    """Request for a transactional batch."""

    conditions: list[Condition]
    writes: list[WriteBody]


def embed_value(value: bytes | None) -> msgspec.Raw:
    """Return a row's value as JSON to be embedded in a body."""
    return msgspec.Raw(JSON_NULL if value is None else value)

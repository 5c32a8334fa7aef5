"""Reads changes page by page up to a consistent state of the table."""

from .changes import Changes
from .platform import Platform
from .row import Row

_PAGE_SIZE = 1000


async def read_all_changes(
    platform: Platform, prefix: str, after_revision: int
) -> Changes:
    """Return all changes after a revision.

    A single page is not a consistent state of the table, because it lacks rows that
    changed again in the meantime. Only all pages together are consistent.

    Returns
    -------
    Changes
        The last change of each row, by ascending revision.
    """
    rows: dict[str, Row] = {}
    cursor = after_revision
    is_last = False
    while not is_last:
        page = await platform.changes(prefix, cursor, _PAGE_SIZE)
        for row in page.rows:
            rows.pop(row.key, None)
            rows[row.key] = row
        cursor = page.revision
        is_last = page.is_last
    return Changes(cursor, list(rows.values()), is_last=True)

"""Reads changes page by page up to a state that the table has had."""

from .changes import Changes
from .platform import Platform
from .row import Row

_PAGE_LIMIT = 1000


async def read_all_changes(
    platform: Platform, prefix: str, after_revision: int
) -> Changes:
    """Return all changes after a revision.

    A single page is no state that the table has had: a row that changed again
    meanwhile is missing from it. Only all pages together are.

    Returns
    -------
    Changes
        The last change of each row, in order of revision.
    """
    rows: dict[str, Row] = {}
    cursor = after_revision
    is_last = False
    while not is_last:
        page = await platform.changes(prefix, cursor, _PAGE_LIMIT)
        for row in page.rows:
            rows.pop(row.key, None)
            rows[row.key] = row
        cursor = page.revision
        is_last = page.is_last
    return Changes(cursor, list(rows.values()), is_last=True)

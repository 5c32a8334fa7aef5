"""Sets a caller's session values and prepared statements on a connection."""

from .link import Link
from .session_state import SessionState
from .shape import Shape
from .statement import Statement
from .statement_kind import StatementKind

# A link keeps the statements of every session that has used it; at this number it
# is reset.
MAX_LINK_PREPARED_STATEMENTS = 512


def find_values_to_set(
    current: dict[str, str], target: dict[str, str]
) -> dict[str, str] | None:
    """Return the values to set; None if values must be removed, which needs a reset."""
    if current.keys() - target.keys():
        return None
    return {name: value for name, value in target.items() if current.get(name) != value}


async def apply_session_values(link: Link, session: SessionState) -> None:
    """Make the session values of a link equal to those of a session.

    Raises
    ------
    CodedError
        If the connection breaks or the database refuses; the link must not be
        used then.
    """
    changes = find_values_to_set(link.values, session.values)
    if len(link.prepared) >= MAX_LINK_PREPARED_STATEMENTS:
        changes = None
    if changes is None:
        await link.reset()
        changes = session.values
    for name, value in changes.items():
        await link.set_value(name, value)


async def prepare_statement(
    link: Link, session: SessionState, statement: Statement
) -> Shape | None:
    """Prepare what an ``EXECUTE`` runs; return its shape, None for other kinds."""
    if statement.kind is not StatementKind.EXECUTE:
        return None
    shape = session.get_shape(statement.name)
    if shape not in link.prepared:
        await link.prepare(shape)
    return shape

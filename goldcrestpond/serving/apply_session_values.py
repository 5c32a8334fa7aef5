"""Brings a connection in line with a caller's session before it is lent."""

from .link import Link
from .session_state import SessionState
from .shape import Shape
from .statement import Statement
from .statement_kind import StatementKind

# Names of all sessions that a link was lent to; beyond it, it starts anew.
LINK_SHAPES_MAX = 512


def values_to_set(
    present: dict[str, str], wanted: dict[str, str]
) -> dict[str, str] | None:
    """Return the values that differ; None if only a reset can remove others."""
    if present.keys() - wanted.keys():
        return None
    return {name: value for name, value in wanted.items() if present.get(name) != value}


async def apply_session_values(link: Link, session: SessionState) -> None:
    """Make the values in force on a link those of a session.

    Raises
    ------
    CodedError
        If the link breaks or refuses; it must not be lent then.
    """
    missing = values_to_set(link.values, session.values)
    if len(link.prepared) >= LINK_SHAPES_MAX:
        missing = None
    if missing is None:
        await link.reset()
        missing = session.values
    for name, value in missing.items():
        await link.set_value(name, value)


async def prepare_for(
    link: Link, session: SessionState, statement: Statement
) -> Shape | None:
    """Prepare what a statement executes; return its shape, or None."""
    if statement.kind is not StatementKind.EXECUTE:
        return None
    shape = session.shape_of(statement.name)
    if shape not in link.prepared:
        await link.prepare(shape)
    return shape

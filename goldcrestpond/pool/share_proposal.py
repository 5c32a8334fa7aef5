"""A proposed change of a share row."""

from dataclasses import dataclass

from .share_row import ShareRow


@dataclass(frozen=True, slots=True)
class ShareProposal:
    """A row and the condition under which it may be written.

    Attributes
    ----------
    row : ShareRow
        The new row.
    expected_revision : int
        Revision that the stored row must have; 0 if it must not exist.
    lease_generation : int
        Generation of the writer's lease when the row was proposed; -1 if the writer
        gives up its share.
    """

    row: ShareRow
    expected_revision: int
    lease_generation: int

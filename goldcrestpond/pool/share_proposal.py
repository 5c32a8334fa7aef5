"""A share row that an instance wants to write."""

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
        Revision that the present row must have; 0 for none.
    lease_generation : int
        Generation of the writer's lease when it was proposed.
    """

    row: ShareRow
    expected_revision: int
    lease_generation: int

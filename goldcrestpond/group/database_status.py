"""What a database says of itself."""

from dataclasses import dataclass

from .role import Role


@dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """Answer of one database to ``SHOW group_status``.

    Attributes
    ----------
    database : str
        Name of the database within its group.
    role : Role
        Its role by its own word; a replaced primary still says primary.
    term : int
        Highest term that it has joined by a fence, a promotion or a follow.
    position : int
        Entries that it has received, its own writes included.
    replayed_position : int
        Entries that its reads show.
    last_entry_term : int
        Term of its last received entry; 0 for an empty log.
    term_start_position : int
        Position at which the term of the followed primary began.
    fenced : bool
        True between a fence and the promotion or follow that ends it; a fenced
        database neither writes nor receives.
    promoter : str
        Who fenced or promoted it for its term.
    """

    database: str
    role: Role
    term: int
    position: int
    replayed_position: int
    last_entry_term: int
    term_start_position: int
    fenced: bool
    promoter: str

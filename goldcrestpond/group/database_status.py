"""Status that a database reports of itself."""

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
        Role that it reports; a replaced primary may still report primary.
    term : int
        Highest term that it has joined by a fence, a promotion or a follow command.
    position : int
        Number of log entries that it has received, its own writes included.
    replayed_position : int
        Number of log entries that its reads show.
    last_entry_term : int
        Term of the primary that wrote its last received entry; 0 for an empty log.
    term_start_position : int
        Position at which the term of the primary that it follows began.
    fenced : bool
        True between a fence and the promotion or follow command that ends it; a
        fenced database neither accepts writes nor receives entries.
    promoter : str
        Promoter that fenced or promoted it for its term, ``INSTANCE/START``; START
        tells when the process of the instance started.
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

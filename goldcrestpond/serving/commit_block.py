"""A block of commits to one service while its leader is replaced."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommitBlock:
    """What instances are told when they block commits to a service.

    Attributes
    ----------
    service : str
        Name of the service.
    token : int
        Fencing token of the claim under which the leader is replaced. A block ends
        with the claim of the highest token; 0 from a release that sends none.
    former_id : str
        Id of the leader that is replaced; empty if unknown.
    candidate_id : str
        Id of the database whose promotion is ordered; empty if none is yet.
    """

    service: str
    token: int
    former_id: str
    candidate_id: str = ""

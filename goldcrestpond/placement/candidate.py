"""An instance that may hold connections."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    availability_zone : str
        Availability zone.
    """

    name: str
    availability_zone: str

"""An instance that may be chosen to keep connections to a group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    availability_zone : str
        Availability zone of the instance.
    """

    name: str
    availability_zone: str

"""How an instance reaches a group."""

from enum import StrEnum


class Access(StrEnum):
    """What an instance does with a request for a group."""

    OWN = "own"
    RELAY = "relay"
    OPEN = "open"

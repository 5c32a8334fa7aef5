"""How an instance serves a request for a group."""

from enum import StrEnum


class Access(StrEnum):
    """Connection that a request for a group uses.

    ``OWN`` uses a connection that the instance already has, ``RELAY`` sends the
    request to an instance that has one, ``OPEN`` opens a new connection.
    """

    OWN = "own"
    RELAY = "relay"
    OPEN = "open"

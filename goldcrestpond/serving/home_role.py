"""What an instance is to an organisation at one service."""

from enum import Enum


class HomeRole(Enum):
    """Whether an instance serves an organisation.

    A ``HOME`` serves it, the ``STANDBY`` serves it while no home can, all others
    (``NONE``) send its requests to these.
    """

    HOME = "home"
    STANDBY = "standby"
    NONE = "none"

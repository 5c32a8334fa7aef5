"""One entry of the platform's list of instances."""

from typing import Literal

import msgspec


class InstanceEntry(msgspec.Struct, frozen=True):
    """An instance in the platform's list, which lags behind.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : str
        ``IP:PORT`` of the instance.
    availability_zone : str
        Availability zone of the instance.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    availability_zone: str = ""
    state: Literal["live", "leaving"] = "live"

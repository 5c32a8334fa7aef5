"""One entry of the platform's instance list."""

from typing import Literal

import msgspec


class InstanceEntry(msgspec.Struct, frozen=True):
    """An instance as the platform knows it; the list lags.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : str
        ``IP:PORT`` of the instance.
    availability_zone : str
        Availability zone.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    availability_zone: str = ""
    state: Literal["live", "leaving"] = "live"

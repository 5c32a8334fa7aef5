"""The holders that serve an organisation, as other instances reach them."""

from dataclasses import dataclass

from ..serving.home_role import HomeRole
from .holder import Holder


@dataclass(frozen=True, slots=True)
class HomeHolders:
    """Homes and standby of an organisation at one service, or who meters it.

    Attributes
    ----------
    own_role : HomeRole
        What this instance is to the organisation.
    homes : tuple of Holder
        The homes other than this instance.
    standby : Holder or None
        The standby; None if it is this instance or there is none.
    has_one_meter : bool
        Whether one instance meters the organisation, so that each home refuses alike
        what exceeds the rate. Otherwise each home spends a share of its own.
    """

    own_role: HomeRole
    homes: tuple[Holder, ...]
    standby: Holder | None
    has_one_meter: bool = True

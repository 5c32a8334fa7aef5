"""A charge that this instance has made itself, or that nobody needs to make."""

from typing import Any

from ..serving.home_admission import HomeAdmission


class LocalCharge:
    """Implements ``OperationCharge`` for a charge that is made already.

    Parameters
    ----------
    admission : HomeAdmission
        Takes the charge back.
    charge : Charge or None
        What it returned; None if the operation costs nothing.
    """

    __slots__ = ("_admission", "_charge")

    def __init__(self, admission: HomeAdmission, charge: Any):
        self._admission = admission
        self._charge = charge

    async def wait(self) -> None:
        """Return at once."""

    async def finish(self) -> None:
        """Return at once."""

    def take_back(self) -> None:
        """Take the charge back."""
        self._admission.refund(self._charge)

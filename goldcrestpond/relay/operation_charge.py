"""What an operation that is about to run has been charged, as its home sees it."""

from typing import Protocol


class OperationCharge(Protocol):
    """Charge of one operation; either `finish` or `take_back` ends it."""

    async def wait(self) -> None:
        """Wait until the operation is charged.

        Raises
        ------
        CodedError
            The reason why it is not; nothing has to be taken back then.
        """

    async def finish(self) -> None:
        """Wait until it is charged, for good.

        Raises
        ------
        CodedError
            As for `wait`.
        """

    def take_back(self) -> None:
        """Take the charge back, now or once it is made: the operation did not run."""

"""A charge that another instance makes while the operation waits for a connection."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..tasks.supervised_tasks import SupervisedTasks
from . import messages
from .channel import Channel
from .holder import Holder

REFUND_TIMEOUT = timedelta(milliseconds=300)  # no caller waits for it
# Charges at one of several meters; None if it was charged here, for good.
MakeCharge = Callable[[], Awaitable[tuple[Holder, Channel] | None]]


class RemoteCharge:
    """Implements ``OperationCharge``.

    Parameters
    ----------
    make : callable
        Makes the charge; returns the meter and the channel over which it was asked.
    tasks : SupervisedTasks
        Runs it in the background.
    """

    __slots__ = ("_error", "_is_done", "_made", "_make", "_tasks")

    def __init__(self, make: MakeCharge, tasks: SupervisedTasks):
        self._make = make
        self._tasks = tasks
        self._is_done = anyio.Event()
        self._made: tuple[Holder, Channel] | None = None
        self._error: Exception | None = None
        tasks.start_soon(self._run)

    async def wait(self) -> None:
        """Wait until the operation is charged."""
        await self._is_done.wait()
        if self._error is not None:
            raise self._error

    async def finish(self) -> None:
        """Wait until it is charged, and release the channel."""
        await self.wait()
        if self._made is not None:
            holder, channel = self._made
            await holder.release_channel(channel)

    def take_back(self) -> None:
        """Send the refund in the background, once the charge is made."""
        if self._error is None:
            self._tasks.start_soon(self._refund)

    async def _run(self) -> None:
        try:
            self._made = await self._make()
        except Exception as error:
            self._error = error
            if not isinstance(error, CodedError):
                raise
        finally:
            self._is_done.set()

    async def _refund(self) -> None:
        await self._is_done.wait()
        if self._made is None:
            return
        holder, channel = self._made
        try:
            await holder.send_request(channel, messages.Refund(), REFUND_TIMEOUT)
        finally:
            with anyio.CancelScope(shield=True):
                await holder.release_channel(channel)

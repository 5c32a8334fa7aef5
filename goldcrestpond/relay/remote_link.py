"""A connection to a database that is checked out from a holder."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..serving.reply import Reply
from ..serving.shape import Shape
from ..serving.statement import Statement
from ..serving.transaction_state import TransactionState
from . import messages
from .channel import Channel
from .holder import Holder


class RemoteLink:
    """Implements ``Link`` by messages to the holder.

    A broken channel ends the checkout: the holder rolls back an open transaction.

    Attributes
    ----------
    holder : Holder
        Instance that holds the connection.
    channel : Channel
        Channel to the holder over which it was checked out.
    is_abandoned, is_broken, values, prepared, state
        See ``Link``.
    """

    __slots__ = (
        "_is_marked_broken",
        "channel",
        "holder",
        "is_abandoned",
        "prepared",
        "state",
        "values",
    )

    def __init__(self, holder: Holder, channel: Channel, lent: messages.Lent):
        self.holder = holder
        self.channel = channel
        self.values = dict(lent.values)
        # The holder keeps the statements' names; the keys record what is prepared.
        self.prepared = {Shape(*pair): "" for pair in lent.prepared}
        self.state = TransactionState.IDLE
        self._is_marked_broken = False
        self.is_abandoned = False

    @property
    def is_broken(self) -> bool:
        """Whether the connection must not be used again."""
        return self._is_marked_broken or self.channel.is_broken

    @is_broken.setter
    def is_broken(self, value: bool) -> None:
        self._is_marked_broken = value

    async def execute(
        self,
        statement: Statement,
        shape: Shape | None,
        min_position: LogPosition | None,
    ) -> Reply:
        """Run a caller's statement with its request id."""
        message = messages.Execute(
            statement.request_id,
            statement.kind.value,
            statement.text,
            statement.name,
            statement.argument,
            statement.is_write,
            shape,
            min_position,
        )
        return await self._request_reply(message)

    async def begin(
        self, is_read_only: bool, min_position: LogPosition | None
    ) -> Reply:
        """Begin a transaction."""
        return await self._request_reply(messages.Begin(is_read_only, min_position))

    async def rollback(self) -> Reply:
        """End a transaction without a commit."""
        return await self._request_reply(messages.Rollback())

    async def reset(self) -> None:
        """Clear values and prepared statements."""
        await self._request_done(messages.Reset())
        self.values.clear()
        self.prepared.clear()

    async def set_value(self, name: str, value: str) -> None:
        """Set a session value."""
        await self._request_done(messages.SetValue(name, value))
        self.values[name] = value

    async def prepare(self, shape: Shape) -> None:
        """Prepare a statement."""
        await self._request_done(messages.Prepare(*shape))
        self.prepared[shape] = ""

    async def _request_reply(self, message: messages.Message) -> Reply:
        response = await self.channel.send_request(message)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        if not isinstance(response, messages.Answer):
            raise self._unexpected(response)
        reply = messages.to_reply(response)
        self.state = reply.state
        return reply

    async def _request_done(self, message: messages.Message) -> None:
        response = await self.channel.send_request(message)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        if not isinstance(response, messages.Done):
            raise self._unexpected(response)

    def _unexpected(self, response: messages.Response) -> CodedError:
        self.channel.is_broken = True
        name = type(response).__name__
        return CodedError(ResultCode.ANSWER_INTERRUPTED, f"unexpected response {name}")

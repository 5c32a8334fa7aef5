"""A connection to a database that a holder lends."""

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
    """What ``Link`` is, by messages to the holder.

    A channel that breaks ends the loan: the holder rolls back what is open.

    Attributes
    ----------
    holder : Holder
        Who lends it.
    channel : Channel
        The connection to the holder.
    is_broken, values, prepared, state
        See ``Link``.
    """

    __slots__ = (
        "_is_condemned",
        "channel",
        "holder",
        "prepared",
        "state",
        "values",
    )

    def __init__(self, holder: Holder, channel: Channel, lent: messages.Lent):
        self.holder = holder
        self.channel = channel
        self.values = dict(lent.values)
        # The names are the holder's; here they only say what is prepared.
        self.prepared = {Shape(*pair): "" for pair in lent.prepared}
        self.state = TransactionState.IDLE
        self._is_condemned = False

    @property
    def is_broken(self) -> bool:
        """Whether it must not be used again."""
        return self._is_condemned or self.channel.is_broken

    @is_broken.setter
    def is_broken(self, value: bool) -> None:
        self._is_condemned = value

    async def execute(
        self,
        statement: Statement,
        shape: Shape | None,
        min_position: LogPosition | None,
    ) -> Reply:
        """Run a caller's statement under its own id."""
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
        return await self._run(message)

    async def begin(
        self, is_read_only: bool, min_position: LogPosition | None
    ) -> Reply:
        """Begin a transaction."""
        return await self._run(messages.Begin(is_read_only, min_position))

    async def rollback(self) -> Reply:
        """End a transaction without a commit."""
        return await self._run(messages.Rollback())

    async def reset(self) -> None:
        """Clear values and prepared statements."""
        await self._do(messages.Reset())
        self.values.clear()
        self.prepared.clear()

    async def set_value(self, name: str, value: str) -> None:
        """Set a session value."""
        await self._do(messages.SetValue(name, value))
        self.values[name] = value

    async def prepare(self, shape: Shape) -> None:
        """Prepare a statement."""
        await self._do(messages.Prepare(*shape))
        self.prepared[shape] = ""

    async def _run(self, message: messages.Message) -> Reply:
        response = await self.channel.ask(message)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        if not isinstance(response, messages.Answer):
            raise self._unexpected(response)
        reply = messages.to_reply(response)
        self.state = reply.state
        return reply

    async def _do(self, message: messages.Message) -> None:
        response = await self.channel.ask(message)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        if not isinstance(response, messages.Done):
            raise self._unexpected(response)

    def _unexpected(self, response: messages.Response) -> CodedError:
        self.channel.is_broken = True
        name = type(response).__name__
        return CodedError(ResultCode.ANSWER_INTERRUPTED, f"unexpected {name}")

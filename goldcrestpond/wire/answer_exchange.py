"""Sends batches over one connection and relays their answer."""

import anyio

from ..endpoint.endpoint_connection import EndpointConnection
from ..errors.coded_error import CodedError
from ..frames import kinds
from ..frames.build import query_frame
from .answer_end import AnswerEnd
from .answer_relay import AnswerRelay
from .answer_script import AnswerScript
from .batch import Batch
from .caller_statements import CallerStatements
from .caller_stream import CallerGone, CallerStream

_CONCURRENT_SEND_BYTES = 32768  # above this an endpoint may answer before it has read
_NO_COMPLETIONS = frozenset((kinds.QUERY, kinds.SYNC, kinds.FLUSH))


class AnswerExchange:
    """One answer, which several batches may ask for by a Flush.

    Parameters
    ----------
    connection : EndpointConnection
        Connection that runs the batches; it is broken until the answer ends.
    stream : CallerStream
        Where the answer goes.
    statements : CallerStatements
        The caller's prepared statements.
    expects_primary : bool
        Whether a refusal to write means that the database was replaced.
    """

    __slots__ = ("_connection", "_relay", "_script", "_sent_completions", "_statements")

    def __init__(
        self,
        connection: EndpointConnection,
        stream: CallerStream,
        statements: CallerStatements,
        expects_primary: bool,
    ):
        self._connection = connection
        self._statements = statements
        self._script = AnswerScript()
        self._relay = AnswerRelay(connection, stream, self._script, expects_primary)
        self._sent_completions = 0

    @property
    def has_relayed(self) -> bool:
        """Whether the caller has seen a part of the answer."""
        return self._relay.relayed_bytes > 0

    async def run(
        self, batch: Batch, read_only: bool | None = None
    ) -> AnswerEnd | None:
        """Send a batch and relay what it asks for.

        Parameters
        ----------
        batch : Batch
            The caller's frames.
        read_only : bool, optional
            What the connection's read-only switch must be; None leaves it.

        Returns
        -------
        AnswerEnd or None
            None after a Flush, which does not end the answer.

        Raises
        ------
        CallerGone
            If the caller left.
        CodedError
            If the answer breaks off or cannot be read.
        """
        data = self._statements.rewrite(batch.frames, self._connection, self._script)
        if read_only is not None and read_only != self._connection.read_only:
            data = self._switch_read_only(read_only) + data
        self._sent_completions += sum(
            frame.kind not in _NO_COMPLETIONS for frame in batch.frames
        )
        self._connection.is_broken = True  # until the whole answer has been read
        if len(data) > _CONCURRENT_SEND_BYTES:
            return await self._send_while_relaying(data, batch)
        await self._connection.send(data)
        return await self._relay_answer(batch)

    async def _send_while_relaying(self, data: bytes, batch: Batch) -> AnswerEnd | None:
        """Send a large batch while its first answers are relayed already."""
        failures: list[CodedError | CallerGone] = []
        end = None

        async def send() -> None:
            try:
                await self._connection.send(data)
            except CodedError as error:
                failures.append(error)  # the relay meets the same connection

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            try:
                end = await self._relay_answer(batch)
            except (CodedError, CallerGone) as error:
                failures.insert(0, error)
                tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return end

    async def _relay_answer(self, batch: Batch) -> AnswerEnd | None:
        if batch.end == kinds.FLUSH:
            await self._relay.relay_completions(self._sent_completions)
            return None
        end = await self._relay.relay_to_end()
        self._connection.is_broken = False
        return end

    def _switch_read_only(self, wanted: bool) -> bytes:
        self._connection.read_only = wanted
        self._script.skipped_answers += 1
        switch = "on" if wanted else "off"
        return query_frame(f"SET default_transaction_read_only = {switch}")

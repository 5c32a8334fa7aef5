"""Sends batches to an endpoint and relays the answer to the caller."""

import anyio

from ..endpoint.endpoint_connection import EndpointConnection
from ..errors.coded_error import CodedError
from ..frames import kinds
from ..frames.build import query_frame
from .answer_end import AnswerEnd
from .answer_relay import AnswerRelay
from .batch import Batch
from .caller_statements import CallerStatements
from .caller_stream import CallerGone, CallerStream
from .expected_completions import ExpectedCompletions

# An endpoint may answer before it has read a larger batch to its end; sending and
# receiving one after the other could then block both sides.
_CONCURRENT_SEND_BYTES = 32768
_KINDS_WITHOUT_COMPLETION = frozenset((kinds.QUERY, kinds.SYNC, kinds.FLUSH))


class AnswerExchange:
    """Sends one or more batches and relays their common answer.

    Batches that end in a Flush share one answer; it ends with the ReadyForQuery
    of the first batch that ends otherwise.

    Parameters
    ----------
    connection : EndpointConnection
        Connection that runs the batches. It is marked as broken until the answer
        has ended.
    stream : CallerStream
        Connection of the caller that receives the answer.
    statements : CallerStatements
        The caller's prepared statements.
    expects_primary : bool
        Whether a "read-only" error of the database means that it is no longer the
        primary.
    """

    __slots__ = (
        "_connection",
        "_relay",
        "_expected",
        "_expected_completion_count",
        "_statements",
    )

    def __init__(
        self,
        connection: EndpointConnection,
        stream: CallerStream,
        statements: CallerStatements,
        expects_primary: bool,
    ):
        self._connection = connection
        self._statements = statements
        self._expected = ExpectedCompletions()
        self._relay = AnswerRelay(connection, stream, self._expected, expects_primary)
        self._expected_completion_count = 0

    @property
    def has_relayed(self) -> bool:
        """Whether a part of the answer was sent to the caller."""
        return self._relay.relayed_bytes > 0

    async def run(
        self, batch: Batch, read_only: bool | None = None
    ) -> AnswerEnd | None:
        """Send a batch and relay the part of the answer that it asks for.

        Parameters
        ----------
        batch : Batch
            The caller's frames.
        read_only : bool, optional
            Value that ``default_transaction_read_only`` must have on the
            connection; None leaves it unchanged.

        Returns
        -------
        AnswerEnd or None
            None after a Flush, which does not end the answer.

        Raises
        ------
        CallerGone
            If the connection to the caller is lost.
        CodedError
            If the answer is interrupted or malformed.
        """
        data = self._statements.rewrite(batch.frames, self._connection, self._expected)
        if read_only is not None and read_only != self._connection.read_only:
            data = self._switch_read_only(read_only) + data
        self._expected_completion_count += sum(
            frame.kind not in _KINDS_WITHOUT_COMPLETION for frame in batch.frames
        )
        self._connection.is_broken = True  # until the whole answer has been read
        if len(data) > _CONCURRENT_SEND_BYTES:
            return await self._send_while_relaying(data, batch)
        await self._connection.send(data)
        return await self._relay_answer(batch)

    async def _send_while_relaying(self, data: bytes, batch: Batch) -> AnswerEnd | None:
        """Send a large batch and relay its first answers at the same time."""
        failures: list[CodedError | CallerGone] = []
        end = None

        async def send() -> None:
            try:
                await self._connection.send(data)
            except CodedError as error:
                failures.append(error)  # receiving on this connection ends as well

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
            await self._relay.relay_completions(self._expected_completion_count)
            return None
        end = await self._relay.relay_to_end()
        self._connection.is_broken = False
        return end

    def _switch_read_only(self, read_only: bool) -> bytes:
        self._connection.read_only = read_only
        self._expected.answers_to_skip += 1
        value = "on" if read_only else "off"
        return query_frame(f"SET default_transaction_read_only = {value}")

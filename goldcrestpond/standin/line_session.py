"""One session at a database that speaks the line protocol."""

import asyncio
import itertools

from ..group.log_position import LogPosition
from ..group.role import Role
from .line_group import LineDatabase, LineGroup

_RECEIPT_NUMBERS = itertools.count(1)
_SLOT_WORDS = ("BEGIN", "READ", "WRITE", "EXECUTE", "STATUS")  # refused while busy


class LineSession:
    """Runs queries of one connection and returns the lines of their answers.

    Attributes
    ----------
    caller : str
        Name of who connected; recorded with each request that it runs.
    """

    def __init__(self, group: LineGroup, database: LineDatabase):
        self.caller = ""
        self._group = group
        self._database = database
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._status = "I"  # as in READY: I idle, T in a transaction, E failed
        self._is_read_write = False
        self._pending_writes: list[tuple[str, str]] = []

    async def answer(self, request_id: str, text: str) -> list[str]:
        """Run a query and return the lines of its answer."""
        self._database.running_count += 1
        try:
            lines = await self._answer(request_id, text)
        finally:
            self._database.running_count -= 1
        if lines[-1].startswith("ERROR") and self._status == "T":
            self._status = "E"
        shown = self._database.visible_position
        return [*lines, f"READY {self._status} {shown.term}.{shown.position}"]

    async def _answer(self, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "SINCE":
            position, _, text = rest.partition(" ")
            term, _, number = position.partition(".")
            if self._database.visible_position < LogPosition(int(term), int(number)):
                return ["ERROR LAGGING behind"]
            word, _, rest = text.partition(" ")
        is_busy = self._group.clock.now() < self._database.busy_until
        if is_busy and word in _SLOT_WORDS:
            return ["ERROR BUSY rolls back"]
        if self._status == "E" and word != "ROLLBACK":
            return ["ERROR MALFORMED the transaction failed"]
        if self._is_read_write and self._status == "T" and not self._is_primary():
            return [f"ERROR READONLY {self._database.database_id}"]
        handler = getattr(self, f"_do_{word.lower()}", None)
        if handler is None:
            return ["ERROR MALFORMED unknown"]
        return await handler(request_id, rest)

    def _is_primary(self) -> bool:
        return self._database.role is Role.PRIMARY

    def _make_completion(self, request_id: str) -> list[str]:
        if request_id == "-":
            return ["COMPLETE -"]
        return [f"COMPLETE r{next(_RECEIPT_NUMBERS)}"]

    def _record(self, request_id: str, kind: str) -> None:
        database_id = self._database.database_id
        self._group.executions.append((database_id, request_id, kind))
        self._group.callers[request_id] = self.caller

    async def _work(self) -> None:
        work_s = self._group.draw_work_s()
        if work_s:
            await asyncio.sleep(work_s)

    async def _do_begin(self, request_id: str, rest: str) -> list[str]:
        if not rest and not self._is_primary():
            return [f"ERROR READONLY {self._database.database_id}"]
        self._status = "T"
        self._is_read_write = not rest
        return self._make_completion(request_id)

    async def _do_commit(self, request_id: str, rest: str) -> list[str]:
        writes, self._pending_writes = self._pending_writes, []
        self._record(request_id, "COMMIT")
        if writes:
            await self._group.commit(self._database, writes)
        self._status = "I"
        return self._make_completion(request_id)

    async def _do_rollback(self, request_id: str, rest: str) -> list[str]:
        self._pending_writes = []
        self._status = "I"
        return self._make_completion(request_id)

    async def _do_read(self, request_id: str, rest: str) -> list[str]:
        self._record(request_id, "READ")
        await self._work()
        row = f"ROW {self._database.read(rest)} {sorted(self._values.items())}"
        return [row, *self._make_completion(request_id)]

    async def _do_write(self, request_id: str, rest: str) -> list[str]:
        if not self._is_primary():
            return [f"ERROR READONLY {self._database.database_id}"]
        self._record(request_id, "WRITE")
        await self._work()
        item, _, data = rest.partition(" ")
        self._pending_writes.append((item, data))
        if self._status == "I":
            writes, self._pending_writes = self._pending_writes, []
            await self._group.commit(self._database, writes)
        return self._make_completion(request_id)

    async def _do_set(self, request_id: str, rest: str) -> list[str]:
        name, _, value = rest.partition(" ")
        self._values[name] = value
        return self._make_completion(request_id)

    async def _do_prepare(self, request_id: str, rest: str) -> list[str]:
        name, _, shape = rest.partition(" ")
        self._prepared[name] = shape.partition(" ")[0]
        return self._make_completion(request_id)

    async def _do_execute(self, request_id: str, rest: str) -> list[str]:
        name, _, arguments = rest.partition(" ")
        kind = self._prepared.get(name)
        if kind is None:
            return ["ERROR NOSTMT unknown"]
        handler = self._do_write if kind == "WRITE" else self._do_read
        return await handler(request_id, arguments)

    async def _do_reset(self, request_id: str, rest: str) -> list[str]:
        self._values.clear()
        self._prepared.clear()
        return self._make_completion(request_id)

    async def _do_status(self, request_id: str, rest: str) -> list[str]:
        database = self._database
        received = database.received_position
        lag_ms = self._group.compute_lag_ms(database)
        row = (
            f"ROW {database.role} {database.term} {received.term}.{received.position} "
            f"{database.paused_term} {lag_ms} {database.running_count - 1} "
            f"{database.connection_count}"
        )
        return [row, "COMPLETE -"]

    async def _do_pause(self, request_id: str, rest: str) -> list[str]:
        is_replica = self._database.role is Role.REPLICA
        if int(rest) > self._group.newest_term() and is_replica:
            self._database.paused_term = int(rest)
        return await self._do_status(request_id, "")

    async def _do_stepdown(self, request_id: str, rest: str) -> list[str]:
        self._group.step_down(self._database, int(rest))
        return await self._do_status(request_id, "")

    async def _do_resume(self, request_id: str, rest: str) -> list[str]:
        self._database.paused_term = 0
        self._group.replicate()
        return await self._do_status(request_id, "")

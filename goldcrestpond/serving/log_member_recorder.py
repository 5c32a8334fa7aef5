"""Keeps the store's record of the databases of each service."""

from dataclasses import dataclass
from datetime import timedelta

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..tasks.supervised_tasks import SupervisedTasks
from .decision_log import DecisionLog
from .directory import Directory
from .failover_claim import claim_key
from .failover_delay import holder_rank
from .log_member_record import (
    LogMemberRecord,
    combine_records,
    decode_record,
    encode_record,
    update_record,
)
from .log_members import LogMember, identify_member
from .row_store import RowConflict, RowPut, RowStore, StoredRow
from .service import Service
from .store_era import StoreEra

TABLE = "log_members"
ATTEMPTS_MAX = 3
RETRY_PAUSE = timedelta(seconds=1)
# The next holder reads the row this much later, and finds it written as a rule.
HOLDER_SPACING = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class _StoredRecord:
    """The record of a service as it was read.

    Attributes
    ----------
    era : int
        Era of the store.
    version : int
        Version of the row of this era; 0 if there is none.
    current : LogMemberRecord
        The record of this era; an empty one if there is none, or an unreadable one.
    combined : LogMemberRecord
        The same with those of earlier eras.
    earlier : list of StoredRow
        Rows of earlier eras.
    unreadable : list of str
        Keys of the rows that could not be decoded.
    """

    era: int
    version: int
    current: LogMemberRecord
    combined: LogMemberRecord
    earlier: list[StoredRow]
    unreadable: list[str]


# What this process knew when it last agreed with the row: the era of the store, the
# databases and the leader.
_State = tuple[int, frozenset[LogMember], str]


class LogMemberRecorder:
    """Reads and writes the rows that say which logs may hold acknowledged commits.

    Each service has one row. It is written when its databases, those that are
    forgotten, or its leader change, by the first of its holders that finds the row
    outdated; each of them looks ``HOLDER_SPACING`` after the one before it in an order
    that is the same for all.

    Parameters
    ----------
    instance : str
        Name of this instance.
    directory : Directory
        The services.
    store : RowStore
        Has the rows.
    era : StoreEra
        Era of the store; all rows are written anew in a later one.
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives log events.
    tasks : SupervisedTasks
        Runs the reads and writes.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_due_at",
        "_era",
        "_instance",
        "_log",
        "_recorded",
        "_running",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        instance: str,
        directory: Directory,
        store: RowStore,
        era: StoreEra,
        clock: Clock,
        log: DecisionLog,
        tasks: SupervisedTasks,
    ):
        self._instance = instance
        self._directory = directory
        self._store = store
        self._era = era
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._recorded: dict[str, _State] = {}
        self._due_at: dict[str, timedelta] = {}
        self._running: set[str] = set()

    def check(self, service: Service) -> None:
        """Start to bring the row of a service up to date if that is due."""
        name = service.name
        state = _read_state(service, self._era.current)
        if state == self._recorded.get(name):
            self._due_at.pop(name, None)
            return
        if name in self._running or not service.databases:
            return
        now = self._clock.now()
        if name not in self._due_at:
            names = self._directory.holder_names(name)
            rank = holder_rank(name, self._instance, names)
            self._due_at[name] = now + rank * HOLDER_SPACING
        if now >= self._due_at[name]:
            self._due_at[name] = now + RETRY_PAUSE
            self._running.add(name)
            self._tasks.start_soon(self._record, service)

    async def read(self, service: Service) -> bool:
        """Take over the record of a service; return whether it could be read."""
        try:
            stored = await self._read(service)
        except CodedError as error:
            self._log.decision(
                "record not read", service=service.name, detail=error.detail
            )
            return False
        if stored.unreadable or not stored.version:
            self._recorded.pop(service.name, None)  # so that the row is written anew
        return not stored.unreadable

    async def _record(self, service: Service) -> None:
        """Write what this process knows of a service, unless the row has it."""
        try:
            for _ in range(ATTEMPTS_MAX):
                if await self._try_record(service):
                    return
        finally:
            self._running.discard(service.name)

    async def _try_record(self, service: Service) -> bool:
        """Read the row and write it if needed; return whether both agree now."""
        name = service.name
        try:
            stored = await self._read(service)
            own = service.log_member_record()
            listed = {identify_member(s.database) for s in service.databases.values()}
            record = update_record(stored.combined, own, listed)
            state = _read_state(service, stored.era)
            if _needs_write(stored, record):
                revision = await self._write(name, stored, record)
                if revision.era != stored.era:
                    return False
                self._log.decision(
                    "databases recorded",
                    service=name,
                    version=revision.version,
                    databases=sorted(m.database_id for m in record.members),
                    forgotten=len(record.forgotten),
                    leader=record.leader_id,
                )
        except RowConflict as conflict:
            self._log.decision(
                "record changed meanwhile", service=name, detail=conflict.detail
            )
            return False
        except CodedError as error:
            # A write may have been applied; the row is read again.
            self._log.decision(
                "databases not recorded", service=name, detail=error.detail
            )
            return False
        self._recorded[name] = state
        return True

    async def _read(self, service: Service) -> _StoredRecord:
        """Read the rows of a service and take over what they say."""
        answer = await self._store.read(TABLE, service.name)
        key = claim_key(service.name, answer.era)
        current, version = LogMemberRecord(), 0
        earlier, earlier_records, unreadable = [], [], []
        for row in answer.rows:
            if row.key.partition("/")[2] != service.name or row.value is None:
                continue
            if row.key == key:
                version = row.version
            else:
                earlier.append(row)
            try:
                record = decode_record(row.value)
            except DECODE_ERRORS as error:
                unreadable.append(row.key)
                self._log.decision(
                    "record unreadable",
                    service=service.name,
                    row=row.key,
                    detail=str(error),
                )
                continue
            if row.key == key:
                current = record
            else:
                earlier_records.append(record)
        combined = combine_records(current, earlier_records)
        service.record_log_members(combined)
        return _StoredRecord(
            answer.era, version, current, combined, earlier, unreadable
        )

    async def _write(self, service: str, stored: _StoredRecord, record):
        # The key names the era, as for claims: versions are assigned again in it.
        key = claim_key(service, stored.era)
        condition = StoredRow(TABLE, service, key, None, stored.version)
        put = RowPut(TABLE, service, key, encode_record(record))
        return await self._store.write([condition], [put], stored.earlier)


def _read_state(service: Service, era: int) -> _State:
    record = service.log_member_record()
    return era, record.members, record.leader_id


def _needs_write(stored: _StoredRecord, record: LogMemberRecord) -> bool:
    """Return whether the row differs in more than the proofs and the term it names."""
    if not stored.version or stored.earlier or stored.unreadable:
        return True
    current = stored.current
    return (record.members, record.leader_id) != (current.members, current.leader_id)

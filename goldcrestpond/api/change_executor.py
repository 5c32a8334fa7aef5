"""Carries out changes of resources in the platform's table."""

import random
from collections.abc import Callable
from datetime import timedelta

import anyio
import msgspec

from ..configuration.change_batch import compute_request_digest, make_change_batch
from ..configuration.change_error import ChangeError
from ..configuration.change_plan import ChangePlan
from ..configuration.change_request import ChangeRequest
from ..configuration.configuration_change import ConfigurationChange
from ..configuration.keys import CONFIGURATION_PREFIX
from ..configuration.plan_change import plan_change
from ..configuration.resource_table import ResourceTable
from ..configuration.revision_count import find_lowest_revision
from ..configuration.stored_outcome import (
    StoredOutcome,
    decode_outcome_resource,
    outcome_key,
)
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..store.condition import Condition
from ..store.platform import Platform
from ..store.platform_conflict import PlatformConflict
from ..store.read_all_changes import read_all_changes
from ..store.write import Write
from .change_outcome import ChangeOutcome
from .outcome_cleaner import OutcomeCleaner
from .pending_change import PendingChange
from .race_attempts import race_attempts
from .status_reader import ReadInForce

# A change without an outcome after this time fails with PLATFORM_UNAVAILABLE.
DEFAULT_MAX_WAIT = timedelta(seconds=10)
_CHANGES_PER_CLEANUP = 32


class ChangeExecutor:
    """Checks each change against the current table and writes it as one batch.

    All attempts of a change write its outcome under the same idempotency key,
    on condition that the key has no outcome yet. So only one of several
    concurrent attempts takes effect, and later ones find its outcome.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    rng : random.Random
        Source of idempotency keys and of pauses between attempts; seeded
        differently in each process.
    on_change : callable
        Called after each change that took effect.
    read_in_force : callable
        Returns the revisions in force on live instances; empty if not known.
    max_wait : timedelta, default=10 s
        Longest time for one change.

    Attributes
    ----------
    table : ResourceTable
        All resources, as of the last refresh.
    """

    __slots__ = (
        "_change_count",
        "_cleaner",
        "_max_wait",
        "_on_change",
        "_platform",
        "_read_in_force",
        "_rng",
        "table",
    )

    def __init__(
        self,
        platform: Platform,
        rng: random.Random,
        on_change: Callable[[], object],
        read_in_force: ReadInForce,
        max_wait: timedelta = DEFAULT_MAX_WAIT,
    ):
        self.table = ResourceTable()
        self._platform = platform
        self._rng = rng
        self._on_change = on_change
        self._read_in_force = read_in_force
        self._max_wait = max_wait
        self._cleaner = OutcomeCleaner(platform)
        self._change_count = 0

    async def refresh(self) -> None:
        """Apply all changes of the platform's table since the last refresh."""
        after_revision = self.table.revision
        changes = await read_all_changes(
            self._platform, CONFIGURATION_PREFIX, after_revision
        )
        rows = [
            ConfigurationChange(row.key, row.revision, row.value)
            for row in changes.rows
        ]
        self.table.apply(rows, changes.revision)

    async def execute(
        self, request: ChangeRequest, idempotency_key: str = ""
    ) -> ChangeOutcome:
        """Carry out a change at most once.

        Parameters
        ----------
        request : ChangeRequest
            The change.
        idempotency_key : str, default=""
            Key of the operator's request; if empty, a random key is used.

        Raises
        ------
        ChangeError
            The change is refused and has no effect.
        CodedError
            IDEMPOTENCY_MISMATCH if the key belongs to another request;
            OUTCOME_UNKNOWN if the outcome stored under the key is unreadable;
            PLATFORM_UNAVAILABLE if no attempt ended in time; the detail says
            whether the outcome is unknown, and the request may be repeated with
            the same key.
        """
        change = PendingChange(
            request=request,
            key=idempotency_key or f"{self._rng.getrandbits(128):032x}",
            may_have_taken_effect=bool(idempotency_key),
        )
        try:
            with anyio.fail_after(self._max_wait.total_seconds()):
                outcome = await race_attempts(
                    lambda: self._attempt(change), _is_retried, self._rng
                )
        except TimeoutError:
            raise change.make_timeout_error() from None
        await self._after_write()
        return outcome

    async def _attempt(self, change: PendingChange) -> ChangeOutcome:
        await self.refresh()
        earlier = await self._find_outcome(change)
        if earlier is not None:
            return earlier
        try:
            plan = plan_change(
                self.table, change.request, find_lowest_revision(self._read_in_force())
            )
        except ChangeError:
            # The change may be refused because an earlier attempt has taken
            # effect since the lookup above. Its outcome is in the table then,
            # since both were written in one batch.
            earlier = await self._find_outcome(change)
            if earlier is None:
                raise
            return earlier
        if not plan.writes:
            return ChangeOutcome(change.request.action, plan.resource)
        return await self._write(change, plan)

    async def _find_outcome(self, change: PendingChange) -> ChangeOutcome | None:
        if not change.may_have_taken_effect:
            return None
        row = await self._platform.read(outcome_key(change.key))
        if row is None or row.value is None:
            return None
        try:
            stored = msgspec.json.decode(row.value, type=StoredOutcome)
            resource = decode_outcome_resource(stored, row.revision)
        except DECODE_ERRORS as error:
            detail = f"{row.key} is unreadable; read the resource: {error}"
            raise CodedError(ResultCode.OUTCOME_UNKNOWN, detail) from error
        if stored.digest != compute_request_digest(change.request):
            detail = "the idempotency key belongs to another request"
            raise CodedError(ResultCode.IDEMPOTENCY_MISMATCH, detail)
        return ChangeOutcome(stored.action, resource)

    async def _write(self, change: PendingChange, plan: ChangePlan) -> ChangeOutcome:
        batch = make_change_batch(change.request, plan, change.key)
        conditions = [Condition(write.key, write.expected_revision) for write in batch]
        writes = [Write(write.key, write.value) for write in batch]
        change.may_have_taken_effect = True
        last_revision = await self._platform.batch(conditions, writes)
        version = last_revision - len(batch) + 1
        resource = msgspec.structs.replace(plan.resource, resource_version=version)
        return ChangeOutcome(change.request.action, resource)

    async def _after_write(self) -> None:
        self._on_change()
        self._change_count += 1
        if self._change_count % _CHANGES_PER_CLEANUP == 0:
            await self._cleaner.clean()


def _is_retried(error: CodedError) -> bool:
    if isinstance(error, PlatformConflict):
        return True
    return error.code is ResultCode.PLATFORM_UNAVAILABLE

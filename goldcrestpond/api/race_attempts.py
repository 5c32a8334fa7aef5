"""Repeats an operation until an attempt succeeds; attempts may hang."""

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio
from anyio.abc import ObjectSendStream

from ..errors.coded_error import CodedError

_T = TypeVar("_T")

# If no attempt ends for this long, another one is started beside them.
_NEXT_ATTEMPT_AFTER_S = 0.5
_PAUSE_MIN_S = 0.01
_PAUSE_MAX_S = 0.25


@dataclass(frozen=True, slots=True)
class _AttemptResult(Generic[_T]):
    """Value or error with which an attempt ended."""

    value: _T | None = None
    error: CodedError | None = None


async def race_attempts(
    attempt: Callable[[], Awaitable[_T]],
    is_retried: Callable[[CodedError], bool],
    rng: random.Random,
) -> _T:
    """Start attempts until one ends with a final result, then cancel the others.

    Several attempts may be executed, so the operation must be idempotent.

    Parameters
    ----------
    attempt : callable
        Makes one attempt.
    is_retried : callable
        Returns True for an error after which another attempt is made.
    rng : random.Random
        Source of the random pauses after errors.

    Raises
    ------
    CodedError
        The first error that is not retried.
    """
    send, receive = anyio.create_memory_object_stream[_AttemptResult[_T]](math.inf)
    final_result: _AttemptResult[_T] | None = None
    started_count = 0
    async with send, receive, anyio.create_task_group() as tasks:
        while final_result is None:
            tasks.start_soon(_run_attempt, attempt, send)
            started_count += 1
            with anyio.move_on_after(_NEXT_ATTEMPT_AFTER_S):
                result = await receive.receive()
                if result.error is None or not is_retried(result.error):
                    final_result = result
                else:
                    await anyio.sleep(_choose_pause_s(started_count, rng))
        tasks.cancel_scope.cancel()
    if final_result.error is not None:
        raise final_result.error
    return final_result.value


async def _run_attempt(
    attempt: Callable[[], Awaitable[_T]], send: ObjectSendStream[_AttemptResult[_T]]
) -> None:
    try:
        result = _AttemptResult(value=await attempt())
    except CodedError as error:
        result = _AttemptResult(error=error)
    await send.send(result)


def _choose_pause_s(started_count: int, rng: random.Random) -> float:
    longest_s = min(_PAUSE_MAX_S, _PAUSE_MIN_S * 2 ** min(started_count, 10))
    return rng.uniform(0, longest_s)

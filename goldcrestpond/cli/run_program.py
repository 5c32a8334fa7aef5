"""Runs a program until it ends or is told to stop."""

import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ..errors.coded_error import CodedError
from ..errors.exit_status import exit_status


def run_program(main: Callable[[], Awaitable[Any]]) -> None:
    """Run ``main`` until it returns, or cancel it on SIGTERM or SIGINT.

    A ``CodedError`` is printed on standard error and ends the process with
    the exit status of its code.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    try:
        anyio.run(_run_until_signal, main)
    except* CodedError as group:
        sys.exit(_report(group))


async def _run_until_signal(main: Callable[[], Awaitable[Any]]) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_signal, tasks.cancel_scope)
        await main()
        tasks.cancel_scope.cancel()


async def _cancel_on_signal(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            scope.cancel()
            return


def _report(group: BaseExceptionGroup) -> int:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    print(error, file=sys.stderr)
    return exit_status(error.code)

"""Runs a program until it ends or receives a stop signal."""

import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import fire

from ..errors.coded_error import CodedError
from ..errors.exit_status import exit_status
from .event_loop import run_event_loop

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_commands(commands: Any) -> None:
    """Run a ``fire`` command line; turn a ``CodedError`` into an exit status.

    The error is printed on standard error, and the process exits with the
    status that belongs to its result code.
    """
    try:
        fire.Fire(commands)
    except CodedError as error:
        print(error, file=sys.stderr)
        sys.exit(exit_status(error.code))


def run_program(main: Callable[[], Awaitable[Any]], *signals: signal.Signals) -> None:
    """Run ``main`` until it returns, or cancel it on a signal.

    Parameters
    ----------
    main : callable
        Coroutine function of the program.
    *signals : signal.Signals
        Signals that cancel it; SIGTERM and SIGINT if none is given.

    Raises
    ------
    CodedError
        The first one that ``main`` raised, unwrapped from its exception groups.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    try:
        run_event_loop(_run_until_signal, main, signals or _STOP_SIGNALS)
    except BaseExceptionGroup as group:
        raise _first_coded_error(group) from group


async def _run_until_signal(
    main: Callable[[], Awaitable[Any]], signals: tuple[signal.Signals, ...]
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_signal, tasks.cancel_scope, signals)
        await main()
        tasks.cancel_scope.cancel()


async def _cancel_on_signal(
    scope: anyio.CancelScope, signals: tuple[signal.Signals, ...]
) -> None:
    with anyio.open_signal_receiver(*signals) as received_signals:
        async for _ in received_signals:
            scope.cancel()
            return


def _first_coded_error(group: BaseExceptionGroup) -> BaseException:
    coded = group.subgroup(CodedError)
    error: BaseException = group if coded is None else coded
    while isinstance(error, BaseExceptionGroup) and coded is not None:
        error = error.exceptions[0]
    return error

"""A task group in which an unexpected error ends only the task that raised it."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

LOOP_RESTART_PAUSE_S = 0.5  # a loop that fails at once must not use up the processor
_DESCRIBED_TYPES = (str, int, float, bytes)
_log = logging.getLogger("goldcrestpond.tasks")

# Receives the name of a task, its input, and the error that ended it.
ReportTaskError = Callable[[str, str, Exception], None]


def log_task_error(task: str, task_input: str, error: Exception) -> None:
    """Log the unexpected error of a task with its traceback."""
    _log.error("task %s(%s) failed", task, task_input, exc_info=error)


class SupervisedTasks:
    """Starts tasks in a task group; reports their unexpected errors.

    Without it, an error that nobody expected in one task cancels all others of the
    group, which ends the process.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the tasks.
    report : callable
        Receives each unexpected error.
    """

    __slots__ = ("_report", "_tasks")

    def __init__(self, tasks: TaskGroup, report: ReportTaskError = log_task_error):
        self._tasks = tasks
        self._report = report

    @property
    def cancel_scope(self) -> anyio.CancelScope:
        """Cancel scope of the task group."""
        return self._tasks.cancel_scope

    def start_soon(
        self, function: Callable[..., Awaitable[Any]], *args: object
    ) -> None:
        """Start a task; an error ends only this task."""
        self._tasks.start_soon(self._run_once, function, args)

    def start_loop(
        self, function: Callable[..., Awaitable[Any]], *args: object
    ) -> None:
        """Start a task that runs for as long as the process; restart it after errors.

        It is not restarted once it has returned.
        """
        self._tasks.start_soon(self.run_loop, function, *args)

    def call(self, function: Callable[..., Any], *args: object) -> None:
        """Call a function that is one of several in a loop; report its error."""
        try:
            function(*args)
        except Exception as error:
            self._report(_name(function), _describe(args), error)

    async def _run_once(self, function, args) -> bool:
        try:
            await function(*args)
        except Exception as error:
            self._report(_name(function), _describe(args), error)
            return False
        return True

    async def run_loop(
        self, function: Callable[..., Awaitable[Any]], *args: object
    ) -> None:
        """Run a function in the present task; run it again after errors."""
        while not await self._run_once(function, args):
            await anyio.sleep(LOOP_RESTART_PAUSE_S)


def _name(function: Callable) -> str:
    return getattr(function, "__qualname__", repr(function))


def _describe(args: tuple) -> str:
    """Return the arguments that are plain values or have a name."""
    texts = []
    for arg in args:
        value = getattr(arg, "name", arg)
        if isinstance(value, _DESCRIBED_TYPES):
            texts.append(repr(value))
    return ", ".join(texts)

"""Runs a program that is being measured as a child process."""

import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

_BIN = Path(sys.executable).parent
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_STOP_TIMEOUT_S = 10
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ChildProcess:
    """A running program and the addresses that it printed when it was ready.

    Attributes
    ----------
    ready : list of str
        Words after ``ready`` on the first line of its standard output.
    """

    __slots__ = ("_process", "ready")

    def __init__(self, process: subprocess.Popen, ready: list[str]):
        self._process = process
        self.ready = ready

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def memory_bytes(self) -> int:
        """Return the size of the resident memory, in bytes."""
        text = Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(text.split()[1]) * _PAGE_BYTES


@contextmanager
def run_program(
    program: str,
    arguments: list[str],
    settings: object,
    root: str = "",
    profile: str = "",
) -> Iterator[ChildProcess]:
    """Run a program of the project until the context ends.

    Parameters
    ----------
    program : str
        Name of the program.
    arguments : list of str
        Command-line arguments that come before ``--settings``.
    settings : object
        Settings of the program, passed to it as a JSON file.
    root : str, default=""
        Source tree to run instead of this one, to compare two versions.
    profile : str, default=""
        File to which cProfile writes a profile; empty for no profile.

    Raises
    ------
    RuntimeError
        If the program does not report that it is ready.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(msgspec.json.encode(settings))
        file.flush()
        command = [str(_BIN / program), *arguments, "--settings", file.name]
        if profile:
            command = [sys.executable, "-m", "cProfile", "-o", profile, *command]
        environment = dict(os.environ)
        if root:
            environment["PYTHONPATH"] = root
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env=environment,
        )
        try:
            words = process.stdout.readline().split()
            if words[:1] != ["ready"]:
                raise RuntimeError(f"{program} did not start: {words}")
            yield ChildProcess(process, words[1:])
        finally:
            # A stopped process would not act on SIGTERM.
            process.send_signal(signal.SIGCONT)
            process.terminate()
            process.wait(_STOP_TIMEOUT_S)

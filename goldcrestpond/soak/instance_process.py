"""An instance as a child process."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio

from ..platform.instance_settings import PATH_VARIABLE
from ..settings.address import Address

KILL_TIMEOUT_S = 30.0  # far longer than a killed process takes to exit


class InstanceProcess:
    """Starts, signals and kills one child process.

    Signals go only to the child that it started, by its process id.

    Parameters
    ----------
    name : str
        Name of the instance.
    folder : Path
        Folder for the settings file and the log.
    settings : dict
        Settings of the instance.

    Attributes
    ----------
    source : Path or None
        Folder with the package to run at the next start; None for this one.
    restart_lock : anyio.Lock
        Held while a fault stops and restarts the process, so that overlapping
        faults do not start it twice.
    is_stopping : bool
        Whether it was told to end, and nothing keeps it from answering before.
    """

    def __init__(self, name: str, folder: Path, settings: dict):
        self.name = name
        self.settings = settings
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self._path.write_text(json.dumps(settings), encoding="utf-8")
        self.restart_lock = anyio.Lock()
        self.source: Path | None = None
        self.is_stopping = False
        self._child: subprocess.Popen | None = None

    @property
    def address(self) -> Address:
        """Address to which callers connect."""
        host, _, port = self.settings["listen"].rpartition(":")
        return Address(host, int(port))

    @property
    def process_id(self) -> int:
        """Id of the process; 0 if it isn't running."""
        return self._child.pid if self.is_running else 0

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the log.

        Raises
        ------
        RuntimeError
            If the process is already running.
        """
        if self.is_running:
            raise RuntimeError(f"{self.name} is already running")
        environment = {**os.environ, PATH_VARIABLE: str(self._path)}
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "goldcrestpond.cli.instance"],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self.source,  # searched before what is installed
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._child.send_signal(signal_number)

    async def wait_stopped(self) -> None:
        """Wait until the process has ended."""
        while self.is_running:
            await anyio.sleep(0.02)

    def send_kill(self) -> None:
        """Kill the process, if it is running, also if it is paused."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)

    def kill(self) -> None:
        """Kill the process and wait until it has exited, without other tasks."""
        if self._child is None:
            return
        self.send_kill()
        self._child.wait(KILL_TIMEOUT_S)

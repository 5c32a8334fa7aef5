"""Starts and ends instances of the product as processes of their own."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


_LOWEST_PORT, _HIGHEST_PORT = 20000, 32000  # below those of outgoing connections
_used: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses now, each once."""
    ports: list[int] = []
    while len(ports) < count:
        candidate = random.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", candidate))
            except OSError:
                continue
        if candidate not in _used:
            _used.add(candidate)
            ports.append(candidate)
    return ports


class Instance:
    """One process of the product, with the settings that the template gives.

    Attributes
    ----------
    front : int
        Port for consumers.
    """

    def __init__(self, name: str, zone: str, store_port: int, folder: Path, **more):
        self.name = name
        front, ready, peer, metrics = free_ports(4)
        self.front = front
        self.ready = ready
        settings = {
            "instance": name,
            "availability_zone": zone,
            "listen": f"127.0.0.1:{front}",
            "ready_listen": f"127.0.0.1:{ready}",
            "peer_listen": f"127.0.0.1:{peer}",
            "metrics_listen": f"127.0.0.1:{metrics}",
            "store": f"127.0.0.1:{store_port}",
            "duties": f"127.0.0.1:{store_port}",
            "drain_limit_ms": 7000,
            "apply_limit_ms": 3000,
            "grace_s": 6,
            "link_mbps": 1000.0,
            "descriptor_limit": 4200,
            **more,
        }
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["GOLDCRESTPOND_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "goldcrestpond.cli.instance"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def process_id(self) -> int:
        """Id of the process."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send the process a signal if it runs."""
        if self.is_running:
            self._child.send_signal(signal_number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._child is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._child.wait(10)

"""Finds the session that a CancelRequest refers to."""

import secrets
from collections.abc import Callable

CancelRunning = Callable[[], None]
_SECRET_BYTES = 4


class CancelRegistry:
    """Registry of the sessions of a process by process id and secret key."""

    __slots__ = ("_next_process_id", "_sessions")

    def __init__(self):
        self._sessions: dict[tuple[int, bytes], CancelRunning] = {}
        self._next_process_id = 1

    def register(self, cancel_running: CancelRunning) -> tuple[int, bytes]:
        """Add a session; return the process id and secret key made for it."""
        process_id = self._next_process_id
        self._next_process_id = self._next_process_id % 0x7FFF_FFFF + 1
        key = (process_id, secrets.token_bytes(_SECRET_BYTES))
        self._sessions[key] = cancel_running
        return key

    def unregister(self, key: tuple[int, bytes]) -> None:
        """Remove a session."""
        self._sessions.pop(key, None)

    def cancel(self, process_id: int, secret_key: bytes) -> None:
        """Cancel the request of a session; ignore unknown keys."""
        cancel_running = self._sessions.get((process_id, secret_key))
        if cancel_running is not None:
            cancel_running()

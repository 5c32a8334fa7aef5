"""Finds the session that a cancel request means."""

import secrets
from collections.abc import Callable

CancelRunning = Callable[[], None]
_SECRET_BYTES = 4


class CancelRegistry:
    """Sessions of one process by their cancellation keys."""

    __slots__ = ("_next_process_id", "_sessions")

    def __init__(self):
        self._sessions: dict[tuple[int, bytes], CancelRunning] = {}
        self._next_process_id = 1

    def register(self, cancel_running: CancelRunning) -> tuple[int, bytes]:
        """Add a session and return its process id and secret key."""
        process_id = self._next_process_id
        self._next_process_id = self._next_process_id % 0x7FFF_FFFF + 1
        key = (process_id, secrets.token_bytes(_SECRET_BYTES))
        self._sessions[key] = cancel_running
        return key

    def unregister(self, key: tuple[int, bytes]) -> None:
        """Remove a session."""
        self._sessions.pop(key, None)

    def cancel(self, process_id: int, secret_key: bytes) -> None:
        """Cancel what the session runs; unknown keys are ignored."""
        cancel_running = self._sessions.get((process_id, secret_key))
        if cancel_running is not None:
            cancel_running()

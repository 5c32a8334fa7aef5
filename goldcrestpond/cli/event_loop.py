"""The event loop that programs run on."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio


def run_event_loop(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run ``main`` on an asyncio event loop in this thread.

    uvloop is not used: its libuv opens an io_uring to batch epoll calls, whatever
    ``UV_USE_IO_URING`` is set to, and instances forbid io_uring.
    """
    return anyio.run(main, *args)

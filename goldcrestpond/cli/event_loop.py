"""The event loop that programs run on."""

import os
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

# libuv reads this when the loop starts; instances may forbid io_uring.
_IO_URING_SWITCH = "UV_USE_IO_URING"


def run_event_loop(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run ``main`` on one uvloop on this thread, without io_uring."""
    os.environ[_IO_URING_SWITCH] = "0"
    return anyio.run(main, *args, backend_options={"use_uvloop": True})

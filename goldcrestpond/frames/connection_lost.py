"""What anyio raises on a connection that is gone."""

import anyio

CONNECTION_LOST = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

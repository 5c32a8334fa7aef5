"""HTTP client of a platform service, with persistent connections."""

from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import Address
from .http_connection import HttpAnswer, HttpConnection, open_http_connection

MAX_IDLE_CONNECTIONS = 2  # one for long-polling feeds, one for other calls


class HttpClient:
    """Sends requests to one address, each with a total timeout.

    Parameters
    ----------
    address : Address
        Address of the service.
    """

    __slots__ = ("_address", "_idle_connections")

    def __init__(self, address: Address):
        self._address = address
        self._idle_connections: list[HttpConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        timeout: timedelta,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> HttpAnswer:
        """Send a request.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if no complete answer arrives in time; the request
            may have been carried out or may still be carried out later.
        """
        connection: HttpConnection | None = None
        try:
            with anyio.fail_after(timeout.total_seconds()):
                connection = await self._acquire_connection()
                return await connection.request(method, target, headers or [], body)
        except TimeoutError as error:
            # A network fault on one connection likely affects the idle ones too.
            await self.aclose()
            kind = "no" if connection is None else connection.kind
            detail = f"{method} {target.partition('?')[0]}: no answer in time"
            detail += f" over {kind} connection"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail) from error
        finally:
            if connection is not None:
                await self._release_connection(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            await self._idle_connections.pop().aclose()

    async def _acquire_connection(self) -> HttpConnection:
        if self._idle_connections:
            return self._idle_connections.pop()
        return await open_http_connection(self._address)

    async def _release_connection(self, connection: HttpConnection) -> None:
        if connection.is_broken or len(self._idle_connections) >= MAX_IDLE_CONNECTIONS:
            with anyio.CancelScope(shield=True):
                await connection.aclose()
        else:
            self._idle_connections.append(connection)

"""Calls a service of the platform over connections that are kept (shell)."""

from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import Address
from .http_connection import HttpAnswer, HttpConnection, open_http_connection

IDLE_CONNECTIONS_MAX = 2  # one for feeds that wait, one for calls


class HttpClient:
    """Requests to one address; each has a time limit as a whole.

    Parameters
    ----------
    address : Address
        Where the service listens.
    """

    __slots__ = ("_address", "_idle")

    def __init__(self, address: Address):
        self._address = address
        self._idle: list[HttpConnection] = []

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
            PLATFORM_UNAVAILABLE if no whole answer comes in time; the request may
            have been carried out, or may be later.
        """
        connection: HttpConnection | None = None
        try:
            with anyio.fail_after(timeout.total_seconds()):
                connection = await self._take()
                return await connection.request(method, target, headers or [], body)
        except TimeoutError as error:
            # What silenced one connection has likely silenced the kept ones, too.
            await self.aclose()
            kind = "no" if connection is None else connection.kind
            detail = f"{method} {target.partition('?')[0]}: no answer in time"
            detail += f" over {kind} connection"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail) from error
        finally:
            if connection is not None:
                await self._give_back(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _take(self) -> HttpConnection:
        if self._idle:
            return self._idle.pop()
        return await open_http_connection(self._address)

    async def _give_back(self, connection: HttpConnection) -> None:
        if connection.is_broken or len(self._idle) >= IDLE_CONNECTIONS_MAX:
            with anyio.CancelScope(shield=True):
                await connection.aclose()
        else:
            self._idle.append(connection)

"""A caller's connection that can move from proxy to proxy."""

import random
from collections.abc import Sequence

import anyio
import psycopg

from ..settings.address import Address

_CONNECT_TIMEOUT_S = 10
_TOKEN = "goldcrestpond.token"


class RoamingConnection:
    """Keeps at most one connection, to a random one of several addresses.

    Parameters
    ----------
    addresses : sequence of Address
        Addresses of the proxies, or of a single database.
    database : str
        Database name in the startup packet.
    rng : random.Random
        Source of the choice of an address.
    parameters : dict of str to str
        Session parameters that are set when the connection opens.
    """

    __slots__ = (
        "_addresses",
        "_connection",
        "_database",
        "_parameters",
        "_rng",
        "_sent_token",
    )

    def __init__(
        self,
        addresses: Sequence[Address],
        database: str,
        rng: random.Random,
        parameters: dict[str, str],
    ):
        self._addresses = addresses
        self._database = database
        self._rng = rng
        self._parameters = parameters
        self._connection: psycopg.AsyncConnection | None = None
        self._sent_token = ""

    @property
    def token(self) -> str:
        """Last session token received on this connection; empty if there is none."""
        if self._connection is None:
            return ""
        status = self._connection.pgconn.parameter_status(_TOKEN.encode())
        return status.decode() if status else ""

    async def get_open_connection(self, token: str = "") -> psycopg.AsyncConnection:
        """Return an open connection whose session has ``token``.

        Raises
        ------
        psycopg.Error
            If the connection cannot be opened or its token cannot be set; the
            caller's request was not sent.
        """
        if self._connection is None or self._connection.closed:
            await self._open(token)
        elif token and token != self._sent_token:
            await self._connection.execute(f"SET {_TOKEN} = '{token}'")
            self._sent_token = token
        return self._connection

    async def _open(self, token: str) -> None:
        address = self._rng.choice(self._addresses)
        parameters = dict(self._parameters)
        if token:
            parameters[_TOKEN] = token
        options = " ".join(f"-c {name}={value}" for name, value in parameters.items())
        self._connection = await psycopg.AsyncConnection.connect(
            host=address.host,
            port=address.port,
            user="demo",
            dbname=self._database,
            options=options,
            autocommit=True,
            sslmode="disable",
            connect_timeout=_CONNECT_TIMEOUT_S,
        )
        self._sent_token = token

    async def close(self) -> None:
        """Close the connection; the next ``get_open_connection`` opens another."""
        connection = self._connection
        self._connection = None
        self._sent_token = ""
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.close()

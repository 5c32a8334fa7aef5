"""Credentials for an endpoint."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Login:
    """User, database and password with which the proxy logs in to an endpoint.

    Attributes
    ----------
    user : str
        PostgreSQL role to log in as.
    database : str
        Name of the database on the server.
    password : str
        Password; empty for trust authentication.
    """

    user: str
    database: str
    password: str = ""

"""Credentials towards an endpoint."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Login:
    """Who the proxy is towards an endpoint.

    Attributes
    ----------
    user : str
        Role of the database.
    database : str
        Name of the database on the server.
    password : str
        Password; empty for trust authentication.
    """

    user: str
    database: str
    password: str = ""

"""Session parameters: their defaults, names and the SET statement."""

import re

from .database_error import DatabaseError

# Default values of the parameters that ParameterStatus reports.
REPORTED_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "application_name": "",
    "default_transaction_read_only": "off",
}
_UNREPORTED_PARAMETERS = {
    "statement_timeout": "0",
    "search_path": "public",
    "transaction_isolation": "read committed",
}
_SET = re.compile(
    r"set\s+(?:(session|local)\s+)?([\w.]+)\s*(?:=|\bto\b)\s*(.*)$", re.I | re.S
)
_CHARACTERISTICS = re.compile(
    r"set\s+session\s+characteristics\s+as\s+transaction\s+read\s+(only|write)", re.I
)
_TRANSACTION = re.compile(r"set\s+transaction\s+read\s+(only|write)", re.I)


def make_initial_settings(startup: dict[str, str]) -> dict[str, str]:
    """Return the session parameters of a new connection."""
    settings = {**REPORTED_PARAMETERS, **_UNREPORTED_PARAMETERS}
    for name, value in startup.items():
        if name not in ("user", "database", "replication", "options"):
            settings[normalize_name(name)] = value
    return settings


def normalize_name(name: str) -> str:
    """Return a parameter's name in its canonical case."""
    lowered = name.lower()
    return next(
        (known for known in REPORTED_PARAMETERS if known.lower() == lowered), lowered
    )


def parse_set(source: str) -> tuple[str, str | None, bool]:
    """Parse a SET statement.

    Returns
    -------
    tuple
        Name, value (None for DEFAULT) and whether it applies only until the end of
        the transaction.

    Raises
    ------
    DatabaseError
        If the statement cannot be parsed.
    """
    match = _CHARACTERISTICS.match(source)
    if match:
        return "default_transaction_read_only", _format_read_only(match[1]), False
    match = _TRANSACTION.match(source)
    if match:
        return "transaction_read_only", _format_read_only(match[1]), True
    match = _SET.match(source)
    if match is None:
        raise DatabaseError("42601", f"cannot parse {source!r}")
    value = match[3].strip().strip("'")
    is_local = (match[1] or "").lower() == "local"
    is_default = value.upper() == "DEFAULT"
    return normalize_name(match[2]), None if is_default else value, is_local


def _format_read_only(mode: str) -> str:
    return "on" if mode.lower() == "only" else "off"


def is_on(value: str) -> bool:
    """Return whether the text of a boolean parameter means true."""
    return value.lower() in ("on", "true", "1", "yes")

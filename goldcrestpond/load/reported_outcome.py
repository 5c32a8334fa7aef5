"""What a caller was told about one request."""

import re
from enum import StrEnum

import psycopg

from ..errors.result_code import ResultCode

_NUMBER = re.compile(r"GP(\d+)")
_UNKNOWN_NUMBERS = {code.number for code in ResultCode if code.number // 100 == 3} | {
    ResultCode.INTERNAL.number
}


class Told(StrEnum):
    """Outcome of a request by the caller's knowledge."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


def told_by(error: Exception) -> Told:
    """Return what an exception of psycopg, raised by a sent request, means.

    An error without SQLSTATE is a connection that broke off; an error of the
    proxy bears its number; any other is the endpoint's, which rolled back.
    """
    if not isinstance(error, psycopg.Error) or error.sqlstate is None:
        return Told.UNKNOWN
    match = _NUMBER.search(str(error))
    if match and int(match[1]) in _UNKNOWN_NUMBERS:
        return Told.UNKNOWN
    return Told.NOT_RUN


def number_of(error: Exception) -> int:
    """Return the proxy's result number in an error, or 0."""
    match = _NUMBER.search(str(error))
    return int(match[1]) if match else 0

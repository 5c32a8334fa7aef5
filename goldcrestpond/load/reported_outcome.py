"""Outcome of a request as reported to its caller."""

import re
from enum import StrEnum

import psycopg

from ..errors.result_code import ResultCode

_NUMBER = re.compile(r"GP(\d+)")
_UNKNOWN_NUMBERS = {code.number for code in ResultCode if code.number // 100 == 3} | {
    ResultCode.INTERNAL.number
}


class ReportedOutcome(StrEnum):
    """Outcome of a request as far as the caller knows it."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


def classify_outcome(error: Exception) -> ReportedOutcome:
    """Return the outcome that an exception raised by a sent request reports.

    An error without SQLSTATE means that the connection broke. An error of the proxy
    contains its result number. Any other error comes from the endpoint, which rolled
    the request back.
    """
    if not isinstance(error, psycopg.Error) or error.sqlstate is None:
        return ReportedOutcome.UNKNOWN
    match = _NUMBER.search(str(error))
    if match and int(match[1]) in _UNKNOWN_NUMBERS:
        return ReportedOutcome.UNKNOWN
    return ReportedOutcome.NOT_RUN


def parse_result_number(error: Exception) -> int:
    """Return the proxy's result number in an error, or 0 if it has none."""
    match = _NUMBER.search(str(error))
    return int(match[1]) if match else 0

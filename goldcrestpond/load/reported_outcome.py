"""What a caller was told about one request."""

import re
from enum import StrEnum

import psycopg

from ..errors.result_code import ResultCode

_RESULT_NUMBER = re.compile(r"GP(\d+)")
_UNKNOWN_OUTCOME_NUMBERS = {
    code.number for code in ResultCode if code.number // 100 == 3
} | {ResultCode.INTERNAL.number}


class ReportedOutcome(StrEnum):
    """Outcome of a request by the caller's knowledge."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


def classify_outcome(error: Exception) -> ReportedOutcome:
    """Return what an exception of psycopg, raised by a sent request, means.

    An error without SQLSTATE is a connection that broke off; an error of the
    proxy bears its number; any other is the endpoint's, which rolled back.
    """
    if not isinstance(error, psycopg.Error) or error.sqlstate is None:
        return ReportedOutcome.UNKNOWN
    match = _RESULT_NUMBER.search(str(error))
    if match and int(match[1]) in _UNKNOWN_OUTCOME_NUMBERS:
        return ReportedOutcome.UNKNOWN
    return ReportedOutcome.NOT_RUN


def parse_result_number(error: Exception) -> int:
    """Return the proxy's result number in an error, or 0."""
    match = _RESULT_NUMBER.search(str(error))
    return int(match[1]) if match else 0

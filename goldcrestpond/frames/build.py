"""Builds the frames that the proxy itself originates."""

from pygwire.constants import TransactionStatus
from pygwire.messages import (
    Close,
    ErrorResponse,
    ParameterStatus,
    Parse,
    Query,
    ReadyForQuery,
)

from ..errors.coded_error import CodedError

READY_IDLE = ReadyForQuery(status=TransactionStatus.IDLE).to_wire()


def error_frame(error: CodedError, severity: str = "ERROR") -> bytes:
    """Build an ErrorResponse from a coded error.

    Parameters
    ----------
    error : CodedError
        The error whose SQLSTATE, number and detail are sent.
    severity : {"ERROR", "FATAL"}, default="ERROR"
        FATAL means that the connection is closed after the error.
    """
    fields = {
        "S": severity,
        "V": severity,
        "C": error.code.sqlstate,
        "M": str(error),
        "D": error.code.meaning,
    }
    if error.retry_after_ms:
        fields["H"] = f"Ask again in {error.retry_after_ms} ms."
    return ErrorResponse(fields=fields).to_wire()


def parameter_frame(name: str, value: str) -> bytes:
    """Build a ParameterStatus message."""
    return ParameterStatus(name=name, value=value).to_wire()


def query_frame(sql: str) -> bytes:
    """Build a simple Query message."""
    return Query(query_string=sql).to_wire()


def parse_frame(statement: str, query: str, param_types: list[int]) -> bytes:
    """Build a Parse message."""
    return Parse(statement=statement, query=query, param_types=param_types).to_wire()


def close_statement_frame(statement: str) -> bytes:
    """Build a Close message for a prepared statement."""
    return Close(kind="S", name=statement).to_wire()

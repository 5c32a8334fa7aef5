"""SQL statements that read and control the terms of a database group."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.database_status import DatabaseStatus
from ..group.role import Role
from ..settings.address import Address
from .endpoint_connection import EndpointConnection
from .query_result import QueryResult

TERM_REFUSED_SQLSTATE = "GT001"


async def read_status(connection: EndpointConnection) -> DatabaseStatus:
    """Return the status of a database."""
    return _parse_status(await connection.query("SHOW group_status"))


async def fence(
    connection: EndpointConnection, term: int, promoter: str
) -> DatabaseStatus:
    """Make a database join ``term`` and refuse writes and entries of earlier terms.

    Raises
    ------
    EndpointRefusal
        With ``TERM_REFUSED_SQLSTATE`` if it has joined a higher term, or this
        one for another promoter.
    """
    return _parse_status(
        await connection.query(f"SELECT group_fence({term}, {_quote(promoter)})")
    )


async def promote(
    connection: EndpointConnection, term: int, promoter: str
) -> DatabaseStatus:
    """Make a fenced database the primary of ``term``."""
    return _parse_status(
        await connection.query(f"SELECT group_promote({term}, {_quote(promoter)})")
    )


async def follow(
    connection: EndpointConnection, term: int, primary: Address
) -> DatabaseStatus:
    """Make a database follow the primary of ``term``."""
    return _parse_status(
        await connection.query(f"SELECT group_follow({term}, {_quote(str(primary))})")
    )


def _quote(text: str) -> str:
    return "'" + text.replace("'", "''") + "'"


def _parse_status(result: QueryResult) -> DatabaseStatus:
    try:
        row = dict(zip(result.columns, result.rows[0], strict=True))
        return DatabaseStatus(
            database=row["database"],
            role=Role(row["role"]),
            term=int(row["term"]),
            position=int(row["position"]),
            replayed_position=int(row["replayed_position"]),
            last_entry_term=int(row["last_entry_term"]),
            term_start_position=int(row["term_start_position"]),
            fenced=row["fenced"] in ("t", "true", "1"),
            promoter=row["promoter"] or "",
        )
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise CodedError(
            ResultCode.ENDPOINT_MALFORMED, "invalid group status"
        ) from error

"""One SQL statement, turned from PostgreSQL's writing into sqlite's."""

import re
from dataclasses import dataclass
from functools import lru_cache

from .values import oid_of_type

_LITERAL = r"""'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/"""
_PIECE = re.compile(rf"(?:{_LITERAL}|[^;'\"])+", re.S)
_TOKEN = re.compile(
    rf"(?P<literal>{_LITERAL})"
    r"|\$(?P<parameter>\d+)"
    r"|::\s*(?P<type>double\s+precision|\w+)(?:\(\d+\))?"
    r"|\bfor\s+(?:update|share)\b"
    r"|\b(?P<serial>bigserial|serial)\b",
    re.S | re.I,
)
_CAST_PARAMETER = re.compile(r"\$(\d+)\s*::\s*(double\s+precision|\w+)", re.I)
_SLEEP = re.compile(r"pg_sleep\(\s*(?:\$(\d+)|([\d.]+))", re.I)
_CALL = re.compile(
    r"\s*select\s+(group_fence|group_promote|group_follow|standin_fault)"
    r"\s*\((.*)\)\s*$",
    re.S | re.I,
)
_ACTIVITY = re.compile(
    r"\s*select\s+state\s+from\s+pg_stat_activity\s+where\s+pid\s*=\s*(\d+)\s*$",
    re.I,
)
_READS = {"SELECT", "VALUES", "EXPLAIN", "WITH"}
_WRITE_WORD = re.compile(r"\b(insert|update|delete)\b", re.I)


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement ready to run.

    Attributes
    ----------
    source : str
        As the client wrote it.
    sql : str
        As sqlite runs it.
    keyword : str
        First word in capitals; empty for an empty statement.
    writes : bool
        Whether it may change rows or tables.
    parameter_count : int
        Highest parameter number.
    cast_types : dict of int to int
        Type numbers of parameters that the text casts.
    """

    source: str
    sql: str
    keyword: str
    writes: bool
    parameter_count: int
    cast_types: dict[int, int]

    def sleep_s(self, parameters: tuple) -> float:
        """Return the service time that ``pg_sleep`` asks for."""
        match = _SLEEP.search(self.source)
        if match is None:
            return 0.0
        number, literal = match.groups()
        return float(parameters[int(number) - 1] if number else literal)

    def activity_process_id(self) -> int | None:
        """Return the backend that a query of ``pg_stat_activity`` asks after."""
        match = _ACTIVITY.match(self.sql)
        return int(match[1]) if match else None

    def control_call(self) -> tuple[str, str] | None:
        """Return name and argument text of a control function, if it is one."""
        match = _CALL.match(self.sql)
        return (match[1].lower(), match[2]) if match else None


def split_statements(text: str) -> list[Statement]:
    """Cut the text of a simple query at its semicolons."""
    pieces = (piece.strip() for piece in _PIECE.findall(text))
    return [parse_statement(piece) for piece in pieces if piece]


@lru_cache(maxsize=4096)
def parse_statement(source: str) -> Statement:
    """Translate one statement."""
    sql = _TOKEN.sub(_translate, source).strip().rstrip(";")
    words = sql.split(None, 1)
    keyword = words[0].upper().rstrip("(") if words else ""
    numbers = [int(match[1]) for match in re.finditer(r"\?(\d+)", sql)]
    return Statement(
        source=source,
        sql=sql,
        keyword=keyword,
        writes=keyword not in _READS
        or (keyword == "WITH" and bool(_WRITE_WORD.search(sql))),
        parameter_count=max(numbers, default=0),
        cast_types={
            int(match[1]): oid_of_type(match[2])
            for match in _CAST_PARAMETER.finditer(source)
        },
    )


def _translate(match: re.Match) -> str:
    if match["literal"]:
        is_comment = match["literal"][0] in "-/"
        return " " if is_comment else match["literal"]
    if match["parameter"]:
        return f"?{match['parameter']}"
    return "INTEGER" if match["serial"] else ""

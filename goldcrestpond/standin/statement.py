"""One SQL statement, turned from PostgreSQL's writing into sqlite's."""

import re
from dataclasses import dataclass
from functools import lru_cache

from .database_error import DatabaseError
from .values import oid_of_type

# One that is not closed runs to the end: each letter is read once.
TEXT_LITERAL = r"""'(?:[^']++|'')*+(?:'|\Z)"""
QUOTED_NAME = r""""(?:[^"]++|"")*+(?:"|\Z)"""
_LITERAL = rf"{TEXT_LITERAL}|{QUOTED_NAME}|--[^\n]*+|/\*.*?(?:\*/|\Z)"
_PIECE = re.compile(rf"(?:{_LITERAL}|[^;'\"/-]++|[/-])++", re.S)
_TOKEN = re.compile(
    rf"(?P<literal>(?-i:{_LITERAL}))"  # the sets are many times faster with case
    r"|\$(?P<parameter>\d++)"
    r"|::\s*+(?P<type>double\s++precision|\w++)(?:\(\d++\))?"
    r"|(?P<lock>for\s++(?:update|share)\b)"
    r"|(?P<word>\w++)|\s++",
    re.S | re.I,
)
_SERIALS = frozenset({"serial", "bigserial"})
_CAST_PARAMETER = re.compile(r"\$(\d{1,5})\s*+::\s*+(double\s++precision|\w++)", re.I)
# The protocol counts parameters with 16 bits.
_PARAMETERS_MAX = 65535
_CACHED_LENGTH = 4000  # characters; longer statements are rarely met again
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


def parse_statement(source: str) -> Statement:
    """Translate one statement.

    Raises
    ------
    DatabaseError
        If it has more parameters than the protocol counts.
    """
    if len(source) > _CACHED_LENGTH:
        return _parse(source)
    return _parse_cached(source)


def _parse(source: str) -> Statement:
    parameters: set[str] = set()

    def translate(match: re.Match) -> str:
        if match["parameter"]:
            parameters.add(match["parameter"])
        return _translate(match)

    sql = _TOKEN.sub(translate, source).strip().rstrip(";")
    words = sql.split(None, 1)
    keyword = words[0].upper().rstrip("(") if words else ""
    return Statement(
        source=source,
        sql=sql,
        keyword=keyword,
        writes=keyword not in _READS
        or (keyword == "WITH" and bool(_WRITE_WORD.search(sql))),
        parameter_count=_highest(parameters),
        cast_types={
            int(match[1]): oid_of_type(match[2])
            for match in _CAST_PARAMETER.finditer(source)
        },
    )


_parse_cached = lru_cache(maxsize=4096)(_parse)


def _highest(digits: set[str]) -> int:
    if any(len(text) > len(str(_PARAMETERS_MAX)) for text in digits):
        raise _too_many()
    count = max(map(int, digits), default=0)
    if count > _PARAMETERS_MAX:
        raise _too_many()
    return count


def _too_many() -> DatabaseError:
    return DatabaseError("54000", f"more than {_PARAMETERS_MAX} parameters")


def _translate(match: re.Match) -> str:
    literal, word = match["literal"], match["word"]
    if literal:
        return " " if literal[0] in "-/" else literal
    if word:
        # Longer than the longest of them it is none, and need not be lowered.
        is_serial = len(word) < 10 and word.lower() in _SERIALS
        return "INTEGER" if is_serial else word
    if match["parameter"]:
        return f"?{match['parameter']}"
    return "" if match["type"] or match["lock"] else match[0]

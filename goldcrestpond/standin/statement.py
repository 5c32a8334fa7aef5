"""Translates SQL statements from PostgreSQL's dialect to sqlite's."""

import re
from dataclasses import dataclass
from functools import lru_cache

from .database_error import DatabaseError
from .values import get_type_oid

# An unterminated literal extends to the end of the text, so that each character is
# read once.
TEXT_LITERAL = r"""'(?:[^']++|'')*+(?:'|\Z)"""
QUOTED_NAME = r""""(?:[^"]++|"")*+(?:"|\Z)"""
_LITERAL = rf"{TEXT_LITERAL}|{QUOTED_NAME}|--[^\n]*+|/\*.*?(?:\*/|\Z)"
_STATEMENT_TEXT = re.compile(rf"(?:{_LITERAL}|[^;'\"/-]++|[/-])++", re.S)
_TOKEN = re.compile(
    rf"(?P<literal>(?-i:{_LITERAL}))"  # sets are many times faster without re.I
    r"|\$(?P<parameter>\d++)"
    r"|::\s*+(?P<type>double\s++precision|\w++)(?:\(\d++\))?"
    r"|(?P<lock>for\s++(?:update|share)\b)"
    r"|(?P<word>\w++)|\s++",
    re.S | re.I,
)
_SERIAL_TYPES = frozenset({"serial", "bigserial"})
_CAST_PARAMETER = re.compile(r"\$(\d{1,5})\s*+::\s*+(double\s++precision|\w++)", re.I)
# Bind counts parameters with 16 bits.
_MAX_PARAMETERS = 65535
_MAX_CACHED_LENGTH = 4000  # characters; longer statements are rarely repeated
_SLEEP_CALL = re.compile(r"pg_sleep\(\s*(?:\$(\d+)|([\d.]+))", re.I)
_CONTROL_CALL = re.compile(
    r"\s*select\s+(group_fence|group_promote|group_follow|standin_fault)"
    r"\s*\((.*)\)\s*$",
    re.S | re.I,
)
_ACTIVITY_QUERY = re.compile(
    r"\s*select\s+state\s+from\s+pg_stat_activity\s+where\s+pid\s*=\s*(\d+)\s*$",
    re.I,
)
_READ_KEYWORDS = {"SELECT", "VALUES", "EXPLAIN", "WITH"}
_WRITE_KEYWORD = re.compile(r"\b(insert|update|delete)\b", re.I)


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement in the client's text and translated for sqlite.

    Attributes
    ----------
    source : str
        Text that the client sent.
    sql : str
        Text for sqlite.
    keyword : str
        First word in capitals; empty for an empty statement.
    writes : bool
        Whether it may change rows or tables.
    parameter_count : int
        Highest parameter number.
    cast_types : dict of int to int
        Type OIDs of the parameters that the text casts, by parameter number.
    """

    source: str
    sql: str
    keyword: str
    writes: bool
    parameter_count: int
    cast_types: dict[int, int]

    def get_sleep_s(self, parameters: tuple) -> float:
        """Return the seconds that the statement's ``pg_sleep`` call sleeps, else 0."""
        match = _SLEEP_CALL.search(self.source)
        if match is None:
            return 0.0
        number, literal = match.groups()
        return float(parameters[int(number) - 1] if number else literal)

    def parse_activity_process_id(self) -> int | None:
        """Return the process id that a query of ``pg_stat_activity`` selects."""
        match = _ACTIVITY_QUERY.match(self.sql)
        return int(match[1]) if match else None

    def parse_control_call(self) -> tuple[str, str] | None:
        """Return name and argument text if this calls a control function."""
        match = _CONTROL_CALL.match(self.sql)
        return (match[1].lower(), match[2]) if match else None


def split_statements(text: str) -> list[Statement]:
    """Split the text of a simple query at its semicolons."""
    pieces = (piece.strip() for piece in _STATEMENT_TEXT.findall(text))
    return [parse_statement(piece) for piece in pieces if piece]


def parse_statement(source: str) -> Statement:
    """Translate one statement.

    Raises
    ------
    DatabaseError
        If a parameter number exceeds the protocol's limit.
    """
    if len(source) > _MAX_CACHED_LENGTH:
        return _parse(source)
    return _parse_cached(source)


def _parse(source: str) -> Statement:
    parameters: set[str] = set()

    def translate(match: re.Match) -> str:
        if match["parameter"]:
            parameters.add(match["parameter"])
        return _translate_token(match)

    sql = _TOKEN.sub(translate, source).strip().rstrip(";")
    words = sql.split(None, 1)
    keyword = words[0].upper().rstrip("(") if words else ""
    return Statement(
        source=source,
        sql=sql,
        keyword=keyword,
        writes=keyword not in _READ_KEYWORDS
        or (keyword == "WITH" and bool(_WRITE_KEYWORD.search(sql))),
        parameter_count=_find_highest_number(parameters),
        cast_types={
            int(match[1]): get_type_oid(match[2])
            for match in _CAST_PARAMETER.finditer(source)
        },
    )


_parse_cached = lru_cache(maxsize=4096)(_parse)


def _find_highest_number(digits: set[str]) -> int:
    if any(len(text) > len(str(_MAX_PARAMETERS)) for text in digits):
        raise _make_parameter_limit_error()
    count = max(map(int, digits), default=0)
    if count > _MAX_PARAMETERS:
        raise _make_parameter_limit_error()
    return count


def _make_parameter_limit_error() -> DatabaseError:
    return DatabaseError("54000", f"more than {_MAX_PARAMETERS} parameters")


def _translate_token(match: re.Match) -> str:
    literal, word = match["literal"], match["word"]
    if literal:
        return " " if literal[0] in "-/" else literal
    if word:
        # Longer words are no serial type; lowering them would only cost time.
        is_serial = len(word) < 10 and word.lower() in _SERIAL_TYPES
        return "INTEGER" if is_serial else word
    if match["parameter"]:
        return f"?{match['parameter']}"
    return "" if match["type"] or match["lock"] else match[0]

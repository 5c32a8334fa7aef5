"""Infers the columns and parameter types of a statement from its text.

Clients request both before the statement runs; sqlite only knows them afterwards.
"""

import re

from .statement import QUOTED_NAME, TEXT_LITERAL, Statement
from .values import (
    BOOL_OID,
    FLOAT8_OID,
    INT4_OID,
    INT8_OID,
    TEXT_OID,
    VOID_OID,
    get_type_oid,
)

Columns = list[tuple[str, int]]

_LIST_END = re.compile(
    r"\b(from|where|group|having|order|limit|union|offset|window)\b", re.I
)
# Possessive quantifiers and matches that begin only at a boundary keep the time linear
# in the length of the text.
_ALIAS = re.compile(r'(?<=\S)\s++as\s++"?(\w++)"?$', re.I)
_CALL = re.compile(r"(\w++)\s*+\((.*)\)$", re.S)
_CAST = re.compile(r"::\s*+(double\s++precision|\w++)(?:\(\d++\))?$", re.I)
_NAME = re.compile(r'(?:"?\w++"?\.)?"?([a-z_]\w*+)"?$', re.I)
_OPERATOR = re.compile(r"[-+*/%]")
_COMPARED_PARAMETER = re.compile(
    r"\b(\w++)\s*+(?:=|<>|!=|<=|>=|<|>|\+|-|\*)\s*+\$(\d{1,5})\b", re.I
)
_LIMIT_PARAMETER = re.compile(r"\b(?:limit|offset)\s++\$(\d{1,5})\b", re.I)
_INSERT = re.compile(r"\binsert\s++into\s++\"?(\w++)\"?\s*+", re.I)
_VALUES = re.compile(r"\s*+values\s*+", re.I)
_LITERAL = re.compile(TEXT_LITERAL)
_MASKED_PIECE = re.compile(rf"(?P<quoted>{TEXT_LITERAL}|{QUOTED_NAME})|[()]|[^'\"()]++")
_FILLER = "\0"  # matches neither \w nor \s
# Nesting depth of calls up to which types are inferred; deeper calls are taken as text.
_MAX_CALL_DEPTH = 8
_FUNCTION_TYPES = {
    "count": INT8_OID,
    "length": INT8_OID,
    "changes": INT8_OID,
    "avg": FLOAT8_OID,
    "exists": BOOL_OID,
    "pg_sleep": VOID_OID,
    "pg_advisory_unlock_all": VOID_OID,
    "pg_backend_pid": INT4_OID,
    "pg_is_in_recovery": BOOL_OID,
}


def describe_parameters(
    statement: Statement,
    declared_types: list[int],
    tables: dict[str, Columns],
    column_types: dict[str, int],
) -> list[int]:
    """Return the OID of each parameter's type.

    Parameters
    ----------
    statement : Statement
        The statement.
    declared_types : list of int
        OIDs that the client declared; 0 for an undeclared type.
    tables : dict of str to list
        Columns of each table in order, as names with OIDs.
    column_types : dict of str to int
        OID of the type by column name, over all tables of the database.
    """
    found = _infer_types_from_use(statement.source, tables, column_types)
    found.update(statement.cast_types)
    found.update({index + 1: oid for index, oid in enumerate(declared_types) if oid})
    count = max(statement.parameter_count, len(declared_types))
    return [found.get(number, TEXT_OID) for number in range(1, count + 1)]


def _infer_types_from_use(
    source: str, tables: dict[str, Columns], column_types: dict[str, int]
) -> dict[int, int]:
    without_literals = _LITERAL.sub("''", source)
    found = {
        int(match[1]): INT8_OID for match in _LIMIT_PARAMETER.finditer(without_literals)
    }
    for match in _COMPARED_PARAMETER.finditer(without_literals):
        found[int(match[2])] = column_types.get(match[1].lower(), TEXT_OID)
    return found | _infer_types_from_insert(without_literals, tables, column_types)


def _infer_types_from_insert(
    source: str, tables: dict[str, Columns], column_types: dict[str, int]
) -> dict[int, int]:
    insert = _INSERT.search(source)
    if insert is None:
        return {}
    names = [name for name, _ in tables.get(insert[1].lower(), [])]
    offset = insert.end()
    if source.startswith("(", offset):
        listed, _, _ = source[offset + 1 :].partition(")")
        names = [name.strip(' "\n').lower() for name in listed.split(",")]
        offset += len(listed) + 2
    values = _VALUES.match(source, offset)
    rows = _split_values_rows(source[values.end() :]) if values else []
    found = {}
    for row in rows:
        for name, item in zip(names, _split_top_level(row), strict=False):
            if re.fullmatch(r"\$\d{1,5}", item):
                found[int(item[1:])] = column_types.get(name, TEXT_OID)
    return found


def _split_values_rows(text: str) -> list[str]:
    return [item[1:-1] for item in _split_top_level(text) if item.startswith("(")]


def describe_columns(
    statement: Statement,
    parameter_types: list[int],
    tables: dict[str, Columns],
    column_types: dict[str, int],
) -> Columns:
    """Return name and type OID of each result column; empty if there are no rows."""
    items = _split_result_items(statement)
    columns: Columns = []
    for item in items:
        if item.endswith("*") and "(" not in item:
            columns += _find_table_columns(statement.source, tables)
            continue
        alias = _ALIAS.search(item)
        expression = item[: alias.start()] if alias else item
        name = alias[1] if alias else _infer_name(expression)
        columns.append((name, _infer_type(expression, parameter_types, column_types)))
    return columns


def _split_result_items(statement: Statement) -> list[str]:
    source = statement.source.strip().rstrip(";")
    masked = _mask(source)
    if statement.writes:
        returning = re.search(r"\breturning\b", masked, re.I)
        return _split_top_level(source[returning.end() :]) if returning else []
    select = re.search(r"\bselect\s+(?:distinct\s+|all\s+)?", masked, re.I)
    if select is None:
        values = re.search(r"\bvalues\s*", masked, re.I)
        rows = _split_values_rows(source[values.end() :]) if values else []
        first = _split_top_level(rows[0]) if rows else []
        return [f"{item} AS column{index + 1}" for index, item in enumerate(first)]
    end = _LIST_END.search(masked, select.end())
    return _split_top_level(source[select.end() : end.start() if end else None])


def _mask(text: str) -> str:
    """Replace text in quotes or parentheses by filler of the same length."""
    depth = 0
    masked = []
    for match in _MASKED_PIECE.finditer(text):
        piece = match[0]
        depth -= piece == ")" and depth > 0
        is_hidden = depth > 0 or match["quoted"] is not None
        masked.append(_FILLER * len(piece) if is_hidden else piece)
        depth += piece == "("
    return "".join(masked)


def _split_top_level(text: str) -> list[str]:
    masked = _mask(text)
    commas = (comma.start() for comma in re.finditer(",", masked))
    cuts = [-1, *commas, len(text)]
    pairs = zip(cuts, cuts[1:], strict=False)
    items = (text[start + 1 : end].strip() for start, end in pairs)
    return [item for item in items if item]


def _find_table_columns(source: str, tables: dict[str, Columns]) -> Columns:
    target = re.search(r"\b(?:from|into|update)\s+\"?(\w+)", source, re.I)
    return tables.get(target[1].lower(), []) if target else []


def _infer_name(expression: str) -> str:
    uncast = _CAST.sub("", expression)
    call = _CALL.match(uncast)
    if call:
        return call[1].lower()
    name = _NAME.match(uncast)
    return name[1].lower() if name else "?column?"


def _infer_type(
    expression: str,
    parameters: list[int],
    column_types: dict[str, int],
    depth: int = 0,
) -> int:
    expression = expression.strip()
    if _LITERAL.fullmatch(expression):
        return TEXT_OID
    cast = _CAST.search(expression)
    if cast:
        return get_type_oid(cast[1])
    if re.fullmatch(r"\$\d{1,5}", expression, re.A):
        number = int(expression[1:])
        return parameters[number - 1] if number <= len(parameters) else TEXT_OID
    if re.fullmatch(r"-?\d++", expression):
        return INT4_OID
    if re.fullmatch(r"-?\d++\.\d*+", expression):
        return FLOAT8_OID
    if expression.lower() in ("true", "false"):
        return BOOL_OID
    call = _CALL.match(expression)
    if call and depth < _MAX_CALL_DEPTH:
        return _infer_call_type(
            call[1].lower(), call[2], parameters, column_types, depth
        )
    name = _NAME.match(expression)
    if name:
        return column_types.get(name[1].lower(), TEXT_OID)
    operator = _OPERATOR.search(expression, 1)
    if operator and operator.end() < len(expression) and expression[0] != "'":
        left = expression[: operator.start()]
        return _infer_type(left, parameters, column_types, depth)
    return TEXT_OID


def _infer_call_type(
    name: str,
    arguments: str,
    parameters: list[int],
    column_types: dict[str, int],
    depth: int,
) -> int:
    if name in _FUNCTION_TYPES:
        return _FUNCTION_TYPES[name]
    if name == "cast":
        return get_type_oid(re.split(r"\bas\b", arguments, flags=re.I)[-1])
    first = _split_top_level(arguments)
    inner = TEXT_OID
    if first:
        inner = _infer_type(first[0], parameters, column_types, depth + 1)
    return INT8_OID if name == "sum" and inner == INT4_OID else inner

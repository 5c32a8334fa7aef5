"""Names and types of a statement's result and parameters, told from its text.

sqlite tells neither before it runs a statement, and clients ask for both.
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
    oid_of_type,
)

Columns = list[tuple[str, int]]

_LIST_END = re.compile(
    r"\b(from|where|group|having|order|limit|union|offset|window)\b", re.I
)
# Possessive, and begun where a piece begins: each letter is read a few times at most.
_ALIAS = re.compile(r'(?<=\S)\s++as\s++"?(\w++)"?$', re.I)
_CALL = re.compile(r"(\w++)\s*+\((.*)\)$", re.S)
_CAST = re.compile(r"::\s*+(double\s++precision|\w++)(?:\(\d++\))?$", re.I)
_NAME = re.compile(r'(?:"?\w++"?\.)?"?([a-z_]\w*+)"?$', re.I)
_OPERATOR = re.compile(r"[-+*/%]")
_COMPARED = re.compile(
    r"\b(\w++)\s*+(?:=|<>|!=|<=|>=|<|>|\+|-|\*)\s*+\$(\d{1,5})\b", re.I
)
_LIMITED = re.compile(r"\b(?:limit|offset)\s++\$(\d{1,5})\b", re.I)
_INSERT = re.compile(r"\binsert\s++into\s++\"?(\w++)\"?\s*+", re.I)
_VALUES = re.compile(r"\s*+values\s*+", re.I)
_LITERAL = re.compile(TEXT_LITERAL)
_MASKED = re.compile(rf"(?P<quoted>{TEXT_LITERAL}|{QUOTED_NAME})|[()]|[^'\"()]++")
_FILLER = "\0"  # neither a letter nor space
# Calls within calls that are looked into; the type of deeper ones is text.
_DEPTH_MAX = 8
_FUNCTIONS = {
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
    given: list[int],
    tables: dict[str, Columns],
    types: dict[str, int],
) -> list[int]:
    """Return the type number of each parameter.

    Parameters
    ----------
    statement : Statement
        The statement.
    given : list of int
        What the client declared; 0 leaves it open.
    tables : dict of str to list
        Columns of each table in order.
    types : dict of str to int
        Type number of every column of the database's tables.
    """
    found = _types_by_use(statement.source, tables, types)
    found.update(statement.cast_types)
    found.update({index + 1: oid for index, oid in enumerate(given) if oid})
    count = max(statement.parameter_count, len(given))
    return [found.get(number, TEXT_OID) for number in range(1, count + 1)]


def _types_by_use(
    source: str, tables: dict[str, Columns], types: dict[str, int]
) -> dict[int, int]:
    bare = _LITERAL.sub("''", source)
    found = {int(match[1]): INT8_OID for match in _LIMITED.finditer(bare)}
    for match in _COMPARED.finditer(bare):
        found[int(match[2])] = types.get(match[1].lower(), TEXT_OID)
    return found | _types_of_inserted(bare, tables, types)


def _types_of_inserted(
    source: str, tables: dict[str, Columns], types: dict[str, int]
) -> dict[int, int]:
    insert = _INSERT.search(source)
    if insert is None:
        return {}
    names = [name for name, _ in tables.get(insert[1].lower(), [])]
    at = insert.end()
    if source.startswith("(", at):
        listed, _, _ = source[at + 1 :].partition(")")
        names = [name.strip(' "\n').lower() for name in listed.split(",")]
        at += len(listed) + 2
    values = _VALUES.match(source, at)
    rows = _rows_of_values(source[values.end() :]) if values else []
    found = {}
    for row in rows:
        for name, item in zip(names, _split_top_level(row), strict=False):
            if re.fullmatch(r"\$\d{1,5}", item):
                found[int(item[1:])] = types.get(name, TEXT_OID)
    return found


def _rows_of_values(text: str) -> list[str]:
    return [item[1:-1] for item in _split_top_level(text) if item.startswith("(")]


def describe_columns(
    statement: Statement,
    parameter_types: list[int],
    tables: dict[str, Columns],
    types: dict[str, int],
) -> Columns:
    """Return name and type number of each column; empty for no result."""
    items = _result_items(statement)
    columns: Columns = []
    for item in items:
        if item.endswith("*") and "(" not in item:
            columns += _all_columns(statement.source, tables)
            continue
        alias = _ALIAS.search(item)
        expression = item[: alias.start()] if alias else item
        name = alias[1] if alias else _name_of(expression)
        columns.append((name, _type_of(expression, parameter_types, types)))
    return columns


def _result_items(statement: Statement) -> list[str]:
    source = statement.source.strip().rstrip(";")
    masked = _mask(source)
    if statement.writes:
        returning = re.search(r"\breturning\b", masked, re.I)
        return _split_top_level(source[returning.end() :]) if returning else []
    select = re.search(r"\bselect\s+(?:distinct\s+|all\s+)?", masked, re.I)
    if select is None:
        values = re.search(r"\bvalues\s*", masked, re.I)
        rows = _rows_of_values(source[values.end() :]) if values else []
        first = _split_top_level(rows[0]) if rows else []
        return [f"{item} AS column{at + 1}" for at, item in enumerate(first)]
    end = _LIST_END.search(masked, select.end())
    return _split_top_level(source[select.end() : end.start() if end else None])


def _mask(text: str) -> str:
    """Replace all that stands in quotes or brackets, keeping the length."""
    depth = 0
    masked = []
    for match in _MASKED.finditer(text):
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


def _all_columns(source: str, tables: dict[str, Columns]) -> Columns:
    target = re.search(r"\b(?:from|into|update)\s+\"?(\w+)", source, re.I)
    return tables.get(target[1].lower(), []) if target else []


def _name_of(expression: str) -> str:
    bare = _CAST.sub("", expression)
    call = _CALL.match(bare)
    if call:
        return call[1].lower()
    name = _NAME.match(bare)
    return name[1].lower() if name else "?column?"


def _type_of(
    expression: str,
    parameters: list[int],
    types: dict[str, int],
    depth: int = 0,
) -> int:
    expression = expression.strip()
    if _LITERAL.fullmatch(expression):
        return TEXT_OID
    cast = _CAST.search(expression)
    if cast:
        return oid_of_type(cast[1])
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
    if call and depth < _DEPTH_MAX:
        return _type_of_call(call[1].lower(), call[2], parameters, types, depth)
    name = _NAME.match(expression)
    if name:
        return types.get(name[1].lower(), TEXT_OID)
    operator = _OPERATOR.search(expression, 1)
    if operator and operator.end() < len(expression) and expression[0] != "'":
        left = expression[: operator.start()]
        return _type_of(left, parameters, types, depth)
    return TEXT_OID


def _type_of_call(
    name: str,
    arguments: str,
    parameters: list[int],
    types: dict[str, int],
    depth: int,
) -> int:
    if name in _FUNCTIONS:
        return _FUNCTIONS[name]
    if name == "cast":
        return oid_of_type(re.split(r"\bas\b", arguments, flags=re.I)[-1])
    first = _split_top_level(arguments)
    inner = TEXT_OID
    if first:
        inner = _type_of(first[0], parameters, types, depth + 1)
    return INT8_OID if name == "sum" and inner == INT4_OID else inner

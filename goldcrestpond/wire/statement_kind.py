"""Kinds of statement that the proxy tells apart by their opening words."""

import re
from dataclasses import dataclass
from enum import Enum, auto

from .declarations import PREFIX, READ_ONLY_PARAMETER


class StatementKind(Enum):
    """What a statement means to the proxy."""

    WORK = auto()
    BEGIN = auto()
    BEGIN_READ_ONLY = auto()
    DECLARE = auto()
    SHOW_DECLARED = auto()
    SET_SESSION = auto()
    NOT_CARRIED = auto()


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement as far as the proxy reads it.

    Attributes
    ----------
    kind : StatementKind
        Its kind.
    name : str
        Parameter of a SET or SHOW, or the keyword that is not carried.
    value : str
        Value of a SET, without quotes.
    """

    kind: StatementKind
    name: str = ""
    value: str = ""


_WORK = Statement(StatementKind.WORK)
_BEGIN = re.compile(r"\s*(begin|start\s+transaction)\b(?P<modes>[^;]*)", re.I)
_READ_ONLY = re.compile(r"\bread\s+only\b", re.I)
_SET = re.compile(
    r"\s*(?:set\s+(?:session\s+)?(?!session\b|transaction\b|local\b)|reset\s+)"
    r"(?P<name>[\w.]+)(?:\s*(?:=|\bto\b)\s*(?P<value>'(?:[^']|'')*'|[^;\s]+))?"
    r"\s*;?\s*$",
    re.I,
)
_SHOW = re.compile(r"\s*show\s+(?P<name>goldcrestpond\.\w+)\s*;?\s*$", re.I)
_SESSION = re.compile(
    r"\s*(set\s+(session\s+)?(?!transaction\b|local\b)|reset\b|discard\b"
    r"|prepare\s+(?!transaction\b)|create\s+(local\s+|global\s+)?temp)",
    re.I,
)
_NOT_CARRIED = re.compile(
    r"\s*(?P<word>copy|listen|unlisten|notify|prepare\s+transaction"
    r"|commit\s+prepared|rollback\s+prepared)\b",
    re.I,
)
_OPENING = frozenset("bsrdpclunBSRDPCLUN")


def read_statement(sql: str) -> Statement:
    """Tell the kind of a statement.

    Parameters
    ----------
    sql : str
        Text of a Query or Parse.

    Returns
    -------
    Statement
        ``WORK`` for everything that the proxy need not know.
    """
    text = sql.lstrip()
    if not text or text[0] not in _OPENING:
        return _WORK
    if match := _BEGIN.match(text):
        return _read_begin(match)
    if match := _SET.match(text):
        return _read_set(match)
    if match := _SHOW.match(text):
        return Statement(StatementKind.SHOW_DECLARED, match["name"].lower())
    if match := _NOT_CARRIED.match(text):
        return Statement(StatementKind.NOT_CARRIED, match["word"].upper())
    if _SESSION.match(text):
        return Statement(StatementKind.SET_SESSION)
    return _WORK


def _read_begin(match: re.Match[str]) -> Statement:
    if _READ_ONLY.search(match["modes"]):
        return Statement(StatementKind.BEGIN_READ_ONLY)
    return Statement(StatementKind.BEGIN)


def _read_set(match: re.Match[str]) -> Statement:
    name = match["name"].lower()
    value = match["value"] or ""
    if value.startswith("'"):
        value = value[1:-1].replace("''", "'")
    if name.startswith(PREFIX):
        return Statement(StatementKind.DECLARE, name, value)
    if name == READ_ONLY_PARAMETER:
        return Statement(StatementKind.DECLARE, name, value or "off")
    return Statement(StatementKind.SET_SESSION, name, value)

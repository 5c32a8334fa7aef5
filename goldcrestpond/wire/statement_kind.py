"""Kinds of statement that the proxy tells apart by their opening words."""

import re
from collections.abc import Callable
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
_SESSION = Statement(StatementKind.SET_SESSION)
_OPENING = frozenset("bsrdpclunBSRDPCLUN")
# Each piece is matched once, at a known place, and none of them backtracks: a caller's
# text is read in a time that grows with its length.
_SPACE = re.compile(r"\s*+")
_WORD = re.compile(r"\w++")
_NAME = re.compile(r"[\w.]++")
_QUOTED = re.compile(r"'(?:[^']++|'')*+'")
_BARE = re.compile(r"(?!')[^;\s]++")


class _Scanner:
    """Takes a text's pieces from its beginning on."""

    __slots__ = ("_at", "_text")

    def __init__(self, text: str):
        self._text = text
        self._at = 0

    @property
    def is_at_end(self) -> bool:
        """Whether nothing is left."""
        return self._at == len(self._text)

    def take(self, piece: re.Pattern[str]) -> str:
        """Take a piece that begins here; empty if none does."""
        match = piece.match(self._text, self._at)
        if match is None:
            return ""
        self._at = match.end()
        return match[0]

    def take_word(self) -> str:
        """Take a word that begins here, in lower case; empty if none does."""
        return self.take(_WORD).lower()

    def take_letter(self, letter: str) -> bool:
        """Take a letter if it is the next one; return whether it was."""
        is_next = self._text.startswith(letter, self._at)
        self._at += is_next
        return is_next

    def next_word(self) -> str:
        """Take space and the word behind it, in lower case; empty without either."""
        return self.take_word() if self.take(_SPACE) else ""

    def try_words(self, *words: str) -> str:
        """Take space and one of some words; take nothing and return "" else."""
        began_at = self._at
        word = self.next_word()
        if word in words:
            return word
        self._at = began_at
        return ""

    def take_end(self) -> bool:
        """Take the end of a statement; return whether nothing follows."""
        self.take(_SPACE)
        self.take_letter(";")
        self.take(_SPACE)
        return self.is_at_end

    def rest_of_statement(self) -> str:
        """Return what is left up to a semicolon."""
        return self._text[self._at :].partition(";")[0]


def classify_statement(sql: str) -> Statement:
    """Tell the kind of a statement, in a time that grows with its length.

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
    scanner = _Scanner(text)
    reader = _READERS.get(scanner.take_word())
    return _WORK if reader is None else reader(scanner)


def _read_begin(scanner: _Scanner) -> Statement:
    modes = scanner.rest_of_statement().replace(",", " ").lower().split()
    if ("read", "only") in zip(modes, modes[1:], strict=False):
        return Statement(StatementKind.BEGIN_READ_ONLY)
    return Statement(StatementKind.BEGIN)


def _read_start(scanner: _Scanner) -> Statement:
    if scanner.next_word() != "transaction":
        return _WORK
    return _read_begin(scanner)


def _read_set(scanner: _Scanner) -> Statement:
    if scanner.try_words("transaction", "local"):
        return _WORK
    is_session = bool(scanner.try_words("session"))
    if is_session and scanner.try_words("session", "transaction", "local"):
        return _SESSION
    if not scanner.take(_SPACE) or scanner.is_at_end:
        return _SESSION if is_session else _WORK
    return _read_assignment(scanner)


def _read_reset(scanner: _Scanner) -> Statement:
    return _read_assignment(scanner) if scanner.take(_SPACE) else _SESSION


def _read_assignment(scanner: _Scanner) -> Statement:
    """Read name and value; without a statement's end behind them, what it sets."""
    name = scanner.take(_NAME).lower()
    if not name:
        return _SESSION
    value = ""
    if _take_assigning(scanner):
        scanner.take(_SPACE)
        text = scanner.take(_QUOTED) or scanner.take(_BARE)
        if not text:
            return _SESSION
        value = text[1:-1].replace("''", "'") if text.startswith("'") else text
    if not scanner.take_end():
        return _SESSION
    if name.startswith(PREFIX):
        return Statement(StatementKind.DECLARE, name, value)
    if name == READ_ONLY_PARAMETER:
        return Statement(StatementKind.DECLARE, name, value or "off")
    return Statement(StatementKind.SET_SESSION, name, value)


def _take_assigning(scanner: _Scanner) -> bool:
    if scanner.try_words("to"):
        return True
    scanner.take(_SPACE)
    return scanner.take_letter("=")


def _read_show(scanner: _Scanner) -> Statement:
    if not scanner.take(_SPACE):
        return _WORK
    name = scanner.take(_NAME).lower()
    parameter = name.removeprefix(PREFIX)
    is_declared = name.startswith(PREFIX) and parameter and "." not in parameter
    if not is_declared or not scanner.take_end():
        return _WORK
    return Statement(StatementKind.SHOW_DECLARED, name)


def _read_prepare(scanner: _Scanner) -> Statement:
    if scanner.try_words("transaction"):
        return Statement(StatementKind.NOT_CARRIED, "PREPARE TRANSACTION")
    has_more = scanner.take(_SPACE) and not scanner.is_at_end
    return _SESSION if has_more else _WORK


def _read_create(scanner: _Scanner) -> Statement:
    scanner.try_words("local", "global")
    return _SESSION if scanner.next_word().startswith("temp") else _WORK


def _read_end_of_prepared(word: str) -> Callable[[_Scanner], Statement]:
    def read(scanner: _Scanner) -> Statement:
        if not scanner.try_words("prepared"):
            return _WORK
        return Statement(StatementKind.NOT_CARRIED, f"{word} PREPARED")

    return read


def _always(statement: Statement) -> Callable[[_Scanner], Statement]:
    return lambda _scanner: statement


_READERS: dict[str, Callable[[_Scanner], Statement]] = {
    "begin": _read_begin,
    "start": _read_start,
    "set": _read_set,
    "reset": _read_reset,
    "show": _read_show,
    "discard": _always(_SESSION),
    "prepare": _read_prepare,
    "create": _read_create,
    "commit": _read_end_of_prepared("COMMIT"),
    "rollback": _read_end_of_prepared("ROLLBACK"),
} | {
    word: _always(Statement(StatementKind.NOT_CARRIED, word.upper()))
    for word in ("copy", "listen", "unlisten", "notify")
}

"""Kinds of SQL statements, distinguished by their first words."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from .declarations import PREFIX, READ_ONLY_PARAMETER


class StatementKind(Enum):
    """How the proxy treats a statement.

    ``OTHER``: an ordinary statement, which is passed to an endpoint.
    ``BEGIN``, ``BEGIN_READ_ONLY``: starts a transaction.
    ``DECLARE``: sets a ``goldcrestpond.`` parameter, or the session's read-only mode.
    ``SHOW_DECLARED``: shows a ``goldcrestpond.`` parameter.
    ``SET_SESSION``: changes the state of the endpoint's session.
    ``NOT_CARRIED``: is not supported by the proxy.
    """

    OTHER = auto()
    BEGIN = auto()
    BEGIN_READ_ONLY = auto()
    DECLARE = auto()
    SHOW_DECLARED = auto()
    SET_SESSION = auto()
    NOT_CARRIED = auto()


@dataclass(frozen=True, slots=True)
class Statement:
    """Kind of a statement and the parameter that it sets or shows.

    Attributes
    ----------
    kind : StatementKind
        Kind of the statement.
    name : str
        Parameter of a SET, RESET or SHOW, or the words of an unsupported statement.
    value : str
        Value of a SET, without quotes.
    """

    kind: StatementKind
    name: str = ""
    value: str = ""


_OTHER = Statement(StatementKind.OTHER)
_SESSION_CHANGE = Statement(StatementKind.SET_SESSION)
_FIRST_LETTERS = frozenset("bsrdpclunBSRDPCLUN")
# Each pattern is matched at a known offset and does not backtrack, so that the time for
# reading a caller's text grows linearly with its length.
_SPACE = re.compile(r"\s*+")
_WORD = re.compile(r"\w++")
_NAME = re.compile(r"[\w.]++")
_QUOTED = re.compile(r"'(?:[^']++|'')*+'")
_UNQUOTED = re.compile(r"(?!')[^;\s]++")


class _Scanner:
    """Reads a text from its beginning, one token at a time."""

    __slots__ = ("_offset", "_text")

    def __init__(self, text: str):
        self._text = text
        self._offset = 0

    @property
    def is_at_end(self) -> bool:
        """Whether the whole text has been read."""
        return self._offset == len(self._text)

    def take(self, pattern: re.Pattern[str]) -> str:
        """Read what a pattern matches at the current offset; empty if no match."""
        match = pattern.match(self._text, self._offset)
        if match is None:
            return ""
        self._offset = match.end()
        return match[0]

    def take_word(self) -> str:
        """Read a word at the current offset, in lower case; empty if there is none."""
        return self.take(_WORD).lower()

    def take_character(self, character: str) -> bool:
        """Read a character if it is the next one; return whether it was."""
        is_next = self._text.startswith(character, self._offset)
        self._offset += is_next
        return is_next

    def take_next_word(self) -> str:
        """Skip white space and read the next word, in lower case; empty if none."""
        return self.take_word() if self.take(_SPACE) else ""

    def take_if_one_of(self, *words: str) -> str:
        """Read the next word if it is one of ``words``; else leave the offset as is."""
        start_offset = self._offset
        word = self.take_next_word()
        if word in words:
            return word
        self._offset = start_offset
        return ""

    def take_end(self) -> bool:
        """Read a semicolon and white space; return whether nothing follows."""
        self.take(_SPACE)
        self.take_character(";")
        self.take(_SPACE)
        return self.is_at_end

    def rest_of_statement(self) -> str:
        """Return the unread text up to the next semicolon."""
        return self._text[self._offset :].partition(";")[0]


def classify_statement(sql: str) -> Statement:
    """Classify a statement, in time linear in its length.

    Parameters
    ----------
    sql : str
        Text of a Query or Parse.

    Returns
    -------
    Statement
        Of the kind ``OTHER`` if the proxy does not treat the statement specially.
    """
    text = sql.lstrip()
    if not text or text[0] not in _FIRST_LETTERS:
        return _OTHER
    scanner = _Scanner(text)
    reader = _READERS.get(scanner.take_word())
    return _OTHER if reader is None else reader(scanner)


def _read_begin(scanner: _Scanner) -> Statement:
    modes = scanner.rest_of_statement().replace(",", " ").lower().split()
    if ("read", "only") in zip(modes, modes[1:], strict=False):
        return Statement(StatementKind.BEGIN_READ_ONLY)
    return Statement(StatementKind.BEGIN)


def _read_start(scanner: _Scanner) -> Statement:
    if scanner.take_next_word() != "transaction":
        return _OTHER
    return _read_begin(scanner)


def _read_set(scanner: _Scanner) -> Statement:
    if scanner.take_if_one_of("transaction", "local"):
        return _OTHER
    is_session = bool(scanner.take_if_one_of("session"))
    if is_session and scanner.take_if_one_of("session", "transaction", "local"):
        return _SESSION_CHANGE
    if not scanner.take(_SPACE) or scanner.is_at_end:
        return _SESSION_CHANGE if is_session else _OTHER
    return _read_assignment(scanner)


def _read_reset(scanner: _Scanner) -> Statement:
    return _read_assignment(scanner) if scanner.take(_SPACE) else _SESSION_CHANGE


def _read_assignment(scanner: _Scanner) -> Statement:
    """Read the parameter name and the value of a SET or RESET.

    Returns SET_SESSION without a name if the syntax is not recognised or further
    text follows.
    """
    name = scanner.take(_NAME).lower()
    if not name:
        return _SESSION_CHANGE
    value = ""
    if _take_assignment_operator(scanner):
        scanner.take(_SPACE)
        text = scanner.take(_QUOTED) or scanner.take(_UNQUOTED)
        if not text:
            return _SESSION_CHANGE
        value = text[1:-1].replace("''", "'") if text.startswith("'") else text
    if not scanner.take_end():
        return _SESSION_CHANGE
    if name.startswith(PREFIX):
        return Statement(StatementKind.DECLARE, name, value)
    if name == READ_ONLY_PARAMETER:
        return Statement(StatementKind.DECLARE, name, value or "off")
    return Statement(StatementKind.SET_SESSION, name, value)


def _take_assignment_operator(scanner: _Scanner) -> bool:
    if scanner.take_if_one_of("to"):
        return True
    scanner.take(_SPACE)
    return scanner.take_character("=")


def _read_show(scanner: _Scanner) -> Statement:
    if not scanner.take(_SPACE):
        return _OTHER
    name = scanner.take(_NAME).lower()
    parameter = name.removeprefix(PREFIX)
    is_declared = name.startswith(PREFIX) and parameter and "." not in parameter
    if not is_declared or not scanner.take_end():
        return _OTHER
    return Statement(StatementKind.SHOW_DECLARED, name)


def _read_prepare(scanner: _Scanner) -> Statement:
    if scanner.take_if_one_of("transaction"):
        return Statement(StatementKind.NOT_CARRIED, "PREPARE TRANSACTION")
    has_more = scanner.take(_SPACE) and not scanner.is_at_end
    return _SESSION_CHANGE if has_more else _OTHER


def _read_create(scanner: _Scanner) -> Statement:
    scanner.take_if_one_of("local", "global")
    return _SESSION_CHANGE if scanner.take_next_word().startswith("temp") else _OTHER


def _two_phase_reader(word: str) -> Callable[[_Scanner], Statement]:
    def read(scanner: _Scanner) -> Statement:
        if not scanner.take_if_one_of("prepared"):
            return _OTHER
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
    "discard": _always(_SESSION_CHANGE),
    "prepare": _read_prepare,
    "create": _read_create,
    "commit": _two_phase_reader("COMMIT"),
    "rollback": _two_phase_reader("ROLLBACK"),
} | {
    word: _always(Statement(StatementKind.NOT_CARRIED, word.upper()))
    for word in ("copy", "listen", "unlisten", "notify")
}

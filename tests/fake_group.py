"""An in-memory database group without sockets or clocks."""

from dataclasses import dataclass, field

from goldcrestpond.group.database_status import DatabaseStatus
from goldcrestpond.group.role import Role


class Refused(Exception):
    """The database refuses a statement because of its term (GT001)."""


@dataclass
class FakeDatabase:
    """One database: its log of ``(term, entry)`` and the term that it has joined.

    ``starts`` holds the log position at which each term starts.
    """

    name: str
    role: Role = Role.REPLICA
    term: int = 1
    promoter: str = ""
    fenced: bool = False
    log: list = field(default_factory=list)
    replayed: int = 0
    starts: dict = field(default_factory=lambda: {1: 0})
    upstream: "FakeDatabase | None" = None

    def status(self):
        return DatabaseStatus(
            database=self.name,
            role=self.role,
            term=self.term,
            position=len(self.log),
            replayed_position=self.replayed,
            last_entry_term=self.log[-1][0] if self.log else 0,
            term_start_position=self.starts.get(self.term, 0),
            fenced=self.fenced,
            promoter=self.promoter,
        )

    def fence(self, term, promoter):
        if term < self.term or (term == self.term and promoter != self.promoter):
            raise Refused(f"has joined term {self.term}")
        if term == self.term and not self.fenced:
            return self.status()
        self.term = term
        self.promoter = promoter
        self.fenced = True
        return self.status()

    def promote(self, term, promoter):
        joined = (self.term, self.promoter) == (term, promoter)
        if not joined or not self.fenced:
            raise Refused("is not fenced in this term by this promoter")
        self.role = Role.PRIMARY
        self.fenced = False
        self.upstream = None
        self.starts[term] = len(self.log)
        self.replayed = len(self.log)
        return self.status()

    def follow(self, term, primary):
        if term < self.term:
            raise Refused(f"has joined term {self.term}")
        if term == self.term and self.role is Role.PRIMARY and not self.fenced:
            raise Refused("is the primary of this term")
        self.term = term
        self.role = Role.REPLICA
        self.fenced = False
        self.upstream = primary
        self.discard_diverging_entries(primary)
        self.starts = dict(primary.starts)
        return self.status()

    def discard_diverging_entries(self, primary):
        """Truncate the log where it first differs from the primary's."""
        common_count = 0
        for entry, primary_entry in zip(self.log, primary.log, strict=False):
            if entry != primary_entry:
                break
            common_count += 1
        del self.log[common_count:]
        self.replayed = min(self.replayed, common_count)

    def write(self, entry):
        if self.role is not Role.PRIMARY or self.fenced:
            raise Refused("not the primary")
        self.log.append((self.term, entry))
        self.replayed = len(self.log)
        return self.term, len(self.log)

    def receive(self, count):
        """Copy up to ``count`` entries from the primary that it follows."""
        source = self.upstream
        if source is None or self.fenced or self.role is Role.PRIMARY:
            return
        if source.term != self.term or source.role is not Role.PRIMARY:
            return
        start = len(self.log)
        self.log.extend(source.log[start : start + count])

    def replay(self, count):
        self.replayed = min(len(self.log), self.replayed + count)


def make_group(names=("a", "b", "c")):
    """Return the databases by name; the first one is the primary of term 1."""
    databases = {name: FakeDatabase(name) for name in names}
    primary = databases[names[0]]
    primary.role = Role.PRIMARY
    for name in names[1:]:
        databases[name].upstream = primary
    return databases

"""Room for connections that are still to be opened."""

from dataclasses import dataclass


@dataclass(slots=True)
class OpeningRoom:
    """Connections that may be opened now, or once others are closed.

    Attributes
    ----------
    limit : int
        Connections that may be open.
    free_count : int
        Connections that may be opened now; negative if more are open than the limit.
    closing_count : int
        Connections that are being closed and leave room.
    may_close : bool
        Whether connections may be closed to make room for others.
    claimed_count : int
        Requests that wait for the room of connections that are being closed.
    """

    limit: int
    free_count: int
    closing_count: int
    may_close: bool
    claimed_count: int = 0

    def take(self) -> bool:
        """Take the room of one connection; return False if there is none now."""
        if self.free_count <= 0:
            return False
        self.free_count -= 1
        return True

    def take_closing(self) -> bool:
        """Take the room that a closing connection leaves; return False if none does."""
        if self.free_count + self.closing_count <= 0:
            return False
        self.closing_count -= 1
        self.claimed_count += 1
        return True

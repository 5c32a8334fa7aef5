"""The instances that follow this one, directly or through others."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from .members import Member

# A follower asks several times a second. One that is frozen or slow for some seconds
# stays a member; moving its connections would cost more.
FOLLOWER_LIFETIME = timedelta(seconds=12)


@dataclass(frozen=True, slots=True)
class _Follower:
    member: Member
    reported: tuple[Member, ...]
    heard_at: timedelta


class FollowerList:
    """Instances that asked this one for the store's tables a short time ago."""

    __slots__ = ("_followers",)

    def __init__(self) -> None:
        self._followers: dict[str, _Follower] = {}

    def record(
        self, member: Member, reported: Sequence[Member] | None, now: timedelta
    ) -> None:
        """Record a follower's request.

        Parameters
        ----------
        member : Member
            The follower.
        reported : sequence of Member or None
            Its own followers; None if they are the same as in its last request.
        now : timedelta
            Current time.
        """
        if reported is None:
            known = self._followers.get(member.name)
            reported = () if known is None else known.reported
        self._followers[member.name] = _Follower(member, tuple(reported), now)

    def remove(self, name: str) -> bool:
        """Remove a follower that leaves the fleet; return whether it was known."""
        is_known = self._followers.pop(name, None) is not None
        for key, follower in list(self._followers.items()):
            reported = tuple(m for m in follower.reported if m.name != name)
            self._followers[key] = _Follower(
                follower.member, reported, follower.heard_at
            )
        return is_known

    def live(self, now: timedelta) -> list[Member]:
        """Return the followers and theirs, sorted by name."""
        members: dict[str, Member] = {}
        for name, follower in list(self._followers.items()):
            if now - follower.heard_at >= FOLLOWER_LIFETIME:
                del self._followers[name]
        for follower in self._followers.values():
            members |= {member.name: member for member in follower.reported}
        # What an instance says of itself is newer than what others report of it.
        members |= {name: f.member for name, f in self._followers.items()}
        return [members[name] for name in sorted(members)]

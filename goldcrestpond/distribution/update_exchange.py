"""Spreads revisions by notices, requests and answers."""

import random
from datetime import timedelta

from ..configuration.configuration_state import ConfigurationUpdate
from ..membership.membership import Membership
from .distribution_settings import DistributionSettings
from .fetch_update import FetchUpdate
from .local_configuration import LocalConfiguration
from .revision_notice import RevisionNotice
from .send import Send
from .update_answer import UpdateAnswer
from .update_request import UpdateRequest

Action = Send | FetchUpdate

_CHANGE_BYTES = 24
# Requests after one notice, as requests and answers get lost.
_TRIES = 10


class UpdateExchange:
    """Keeps one member's configuration level with that of its peers.

    A member that moved up tells a few others; whoever is behind asks for what
    it lacks and tells a few in turn. Steady notices to random members find
    those that all first notices missed.

    Parameters
    ----------
    membership : Membership
        The members that are live.
    holder : LocalConfiguration
        The configuration of this process.
    settings : DistributionSettings
        Periods and limits.
    rng : random.Random
        Source of randomness.
    now : timedelta
        Monotonic reading.
    """

    __slots__ = (
        "_asked_at",
        "_holder",
        "_membership",
        "_notice_at",
        "_rng",
        "_settings",
        "_told_revision",
        "_tries_left",
        "_wanted_revision",
    )

    def __init__(
        self,
        membership: Membership,
        holder: LocalConfiguration,
        settings: DistributionSettings,
        rng: random.Random,
        now: timedelta,
    ):
        self._membership = membership
        self._holder = holder
        self._settings = settings
        self._rng = rng
        self._notice_at = now + settings.notice_period * rng.random()
        self._asked_at: timedelta | None = None
        self._told_revision = 0
        self._wanted_revision = 0
        self._tries_left = 0

    def tick(self, now: timedelta) -> list[Action]:
        """Let timers run."""
        state = self._holder.state
        if not state.is_confirmed:
            return self._ask_random(now)
        actions: list[Action] = []
        if state.revision < self._wanted_revision and self._tries_left > 0:
            actions += self._ask_random(now)
        if state.revision > self._told_revision:
            self._told_revision = state.revision
            actions += self._notify(self._settings.notice_fanout)
        if now >= self._notice_at:
            self._notice_at = now + self._settings.notice_period
            actions += self._notify(1)
        return actions

    def on_notice(
        self, notice: RevisionNotice, source: str, now: timedelta
    ) -> list[Action]:
        """Take a member's revision in."""
        state = self._holder.state
        if notice.revision > state.revision:
            self._wanted_revision = notice.revision
            self._tries_left = _TRIES
            return self._ask(source, now)
        if notice.revision < state.revision and state.is_confirmed:
            return [Send(source, self._notice())]
        return []

    def on_request(self, request: UpdateRequest, source: str) -> list[Action]:
        """Answer within a datagram, or say that a stream is needed."""
        answer = self.answer(request)
        if answer is None:
            return []
        update = answer.update
        if (
            update is not None
            and _size_bytes(update) > self._settings.datagram_limit_bytes
        ):
            answer = UpdateAnswer(answer.sender_id, answer.epoch, answer.revision, None)
        return [Send(source, answer)]

    def answer(self, request: UpdateRequest) -> UpdateAnswer | None:
        """Return the whole answer, None if this member may not answer."""
        state = self._holder.state
        if not state.is_confirmed:
            return None
        update = state.update_after(request.after_revision)
        return UpdateAnswer(self._own_id(), request.epoch, state.revision, update)

    def on_answer(self, answer: UpdateAnswer, source: str) -> list[Action]:
        """Take an answer in; fetch over a stream what did not fit."""
        self._asked_at = None
        self._holder.handle_answer(answer.epoch, answer.revision, answer.update, True)
        state = self._holder.state
        if answer.revision <= state.revision or answer.update is not None:
            return []
        request = UpdateRequest(self._own_id(), state.revision, state.epoch)
        return [FetchUpdate(source, request)]

    def _ask_random(self, now: timedelta) -> list[Action]:
        receivers = self._draw(1)
        return self._ask(receivers[0], now) if receivers else []

    def _ask(self, address: str, now: timedelta) -> list[Action]:
        timeout = self._settings.request_timeout
        if self._asked_at is not None and now - self._asked_at < timeout:
            return []
        self._asked_at = now
        self._tries_left -= 1
        state = self._holder.state
        request = UpdateRequest(self._own_id(), state.revision, state.epoch)
        return [Send(address, request)]

    def _notify(self, count: int) -> list[Action]:
        return [Send(address, self._notice()) for address in self._draw(count)]

    def _notice(self) -> RevisionNotice:
        return RevisionNotice(self._own_id(), self._holder.state.revision)

    def _draw(self, count: int) -> list[str]:
        table = self._membership.table
        drawn = table.ring.sample(count, self._rng, {self._own_id()})
        return [table.get(instance_id).address for instance_id in drawn]

    def _own_id(self) -> int:
        return self._membership.identity.instance_id


def _size_bytes(update: ConfigurationUpdate) -> int:
    return sum(
        _CHANGE_BYTES + len(change.key) + len(change.value or b"")
        for change in update.changes
    )

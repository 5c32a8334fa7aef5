"""Distributes revisions by notices, update requests and answers."""

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

_CHANGE_OVERHEAD_BYTES = 24
# Maximum requests after one notice, since requests and answers may be lost.
_REQUESTS_PER_NOTICE = 10


class UpdateExchange:
    """Keeps one member's configuration in step with that of its peers.

    A member with a new revision notifies a few others. Those that are behind
    request an update and then notify a few others in turn. Periodic notices to
    random members reach those that none of the first notices reached.

    Parameters
    ----------
    membership : Membership
        The live members.
    configuration : LocalConfiguration
        The configuration of this process.
    settings : DistributionSettings
        Periods and limits.
    rng : random.Random
        Source of randomness.
    now : timedelta
        Monotonic time.
    """

    __slots__ = (
        "_announced_revision",
        "_configuration",
        "_membership",
        "_next_notice_at",
        "_requested_at",
        "_requests_left",
        "_rng",
        "_settings",
        "_target_revision",
    )

    def __init__(
        self,
        membership: Membership,
        configuration: LocalConfiguration,
        settings: DistributionSettings,
        rng: random.Random,
        now: timedelta,
    ):
        self._membership = membership
        self._configuration = configuration
        self._settings = settings
        self._rng = rng
        self._next_notice_at = now + settings.notice_period * rng.random()
        self._requested_at: timedelta | None = None
        self._announced_revision = 0
        self._target_revision = 0
        self._requests_left = 0

    def tick(self, now: timedelta) -> list[Action]:
        """Send the requests and notices that are due."""
        state = self._configuration.state
        if not state.is_confirmed:
            return self._request_from_random(now)
        actions: list[Action] = []
        if state.revision < self._target_revision and self._requests_left > 0:
            actions += self._request_from_random(now)
        if state.revision > self._announced_revision:
            self._announced_revision = state.revision
            actions += self._send_notices(self._settings.notice_fanout)
        if now >= self._next_notice_at:
            self._next_notice_at = now + self._settings.notice_period
            actions += self._send_notices(1)
        return actions

    def on_notice(
        self, notice: RevisionNotice, source: str, now: timedelta
    ) -> list[Action]:
        """Request an update if the sender is ahead; notify it if it is behind."""
        state = self._configuration.state
        if notice.revision > state.revision:
            self._target_revision = notice.revision
            self._requests_left = _REQUESTS_PER_NOTICE
            return self._request_update(source, now)
        if notice.revision < state.revision and state.is_confirmed:
            return [Send(source, self._make_notice())]
        return []

    def on_request(self, request: UpdateRequest, source: str) -> list[Action]:
        """Answer in a datagram; leave out an update that needs a stream."""
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
        """Return the complete answer, None if the own state is not confirmed."""
        state = self._configuration.state
        if not state.is_confirmed:
            return None
        update = state.make_update_after(request.after_revision)
        return UpdateAnswer(self._own_id(), request.epoch, state.revision, update)

    def on_answer(self, answer: UpdateAnswer, source: str) -> list[Action]:
        """Apply an answer; fetch over a stream an update that did not fit."""
        self._requested_at = None
        self._configuration.apply_answer(
            answer.epoch, answer.revision, answer.update, True
        )
        state = self._configuration.state
        if answer.revision <= state.revision or answer.update is not None:
            return []
        request = UpdateRequest(self._own_id(), state.revision, state.epoch)
        return [FetchUpdate(source, request)]

    def _request_from_random(self, now: timedelta) -> list[Action]:
        receivers = self._random_addresses(1)
        return self._request_update(receivers[0], now) if receivers else []

    def _request_update(self, address: str, now: timedelta) -> list[Action]:
        timeout = self._settings.request_timeout
        if self._requested_at is not None and now - self._requested_at < timeout:
            return []
        self._requested_at = now
        self._requests_left -= 1
        state = self._configuration.state
        request = UpdateRequest(self._own_id(), state.revision, state.epoch)
        return [Send(address, request)]

    def _send_notices(self, count: int) -> list[Action]:
        return [
            Send(address, self._make_notice())
            for address in self._random_addresses(count)
        ]

    def _make_notice(self) -> RevisionNotice:
        return RevisionNotice(self._own_id(), self._configuration.state.revision)

    def _random_addresses(self, count: int) -> list[str]:
        table = self._membership.table
        instance_ids = table.ring.sample(count, self._rng, {self._own_id()})
        return [table.get(instance_id).address for instance_id in instance_ids]

    def _own_id(self) -> int:
        return self._membership.identity.instance_id


def _size_bytes(update: ConfigurationUpdate) -> int:
    return sum(
        _CHANGE_OVERHEAD_BYTES + len(change.key) + len(change.value or b"")
        for change in update.changes
    )

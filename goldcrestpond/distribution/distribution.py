"""One member's part in distributing the configuration."""

import random
from datetime import timedelta

from ..configuration.revision_count import RevisionCount
from ..membership.membership import Membership
from ..membership.tick import Tick
from .distribution_settings import DistributionSettings
from .fetch_update import FetchUpdate
from .force_claim import ForceClaim
from .force_report import ForceReport
from .in_force_tree import InForceTree
from .local_configuration import LocalConfiguration
from .message_received import MessageReceived
from .revision_notice import RevisionNotice
from .send import Send
from .update_answer import UpdateAnswer
from .update_exchange import UpdateExchange
from .update_request import UpdateRequest

Event = MessageReceived | Tick
Action = Send | FetchUpdate


class Distribution:
    """Distributes configuration revisions and counts which are in force.

    It passes events to `UpdateExchange`, which distributes revisions, and to
    `InForceTree`, which counts them, and returns the actions of both.

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

    __slots__ = ("_exchange", "_tree")

    def __init__(
        self,
        membership: Membership,
        configuration: LocalConfiguration,
        settings: DistributionSettings,
        rng: random.Random,
        now: timedelta,
    ):
        self._exchange = UpdateExchange(membership, configuration, settings, rng, now)
        self._tree = InForceTree(membership, configuration, settings, now)

    def in_force(self, now: timedelta) -> list[RevisionCount]:
        """Return the revisions of all live instances, empty if not known."""
        return self._tree.in_force(now)

    def current_claim(self, now: timedelta) -> ForceClaim:
        """Return what is in force, for a process that is not a member."""
        return self._tree.current_claim(now)

    @property
    def is_root(self) -> bool:
        """True if this member computes what is in force."""
        return self._tree.is_root

    def answer(self, request: UpdateRequest) -> UpdateAnswer | None:
        """Return the complete answer to a request that came over a stream.

        Returns
        -------
        UpdateAnswer or None
            None if this member's own configuration is not confirmed.
        """
        return self._exchange.answer(request)

    def handle_event(self, event: Event, now: timedelta) -> list[Action]:
        """Process one event.

        Parameters
        ----------
        event : MessageReceived or Tick
            The event.
        now : timedelta
            Monotonic time.

        Returns
        -------
        list of Send or FetchUpdate
            Actions to perform, in order.
        """
        match event:
            case Tick():
                return self._add_claims(self._exchange.tick(now)) + self._tree.tick(now)
            case MessageReceived(message, source):
                return self._on_message(message, source, now)

    def _on_message(self, message, source: str, now: timedelta) -> list[Action]:
        match message:
            case RevisionNotice():
                answers = self._exchange.on_notice(message, source, now)
                return answers + self._tree.on_notice(message, source, now)
            case UpdateRequest():
                return self._exchange.on_request(message, source)
            case UpdateAnswer():
                return self._exchange.on_answer(message, source)
            case ForceReport():
                self._tree.on_report(message, source, now)
                return []
            case ForceClaim():
                return self._tree.on_claim(message, now)
        return []

    def _add_claims(self, actions: list[Action]) -> list[Action]:
        """Add the number of this member's claim to its revision notices."""
        return [
            Send(action.address, self._tree.add_claim_number(action.message))
            if isinstance(action, Send) and isinstance(action.message, RevisionNotice)
            else action
            for action in actions
        ]

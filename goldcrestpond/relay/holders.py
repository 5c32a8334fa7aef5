"""Assigns the holders of each service and sends requests to them."""

from collections.abc import Sequence
from datetime import timedelta
from functools import partial
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..rates.handover import Handover
from ..serving.commit_block import CommitBlock
from ..serving.decision_log import DecisionLog
from ..serving.highest_acknowledged import InstanceAnswer
from ..serving.members import Member
from . import messages
from .holder import Holder

# Time for which a previous holder is still asked to block commits. It may send commits
# until it has read which instances are live, which takes up to three heartbeats.
HOLDER_RETENTION = timedelta(seconds=30)
# A former home that is leaving still has most of its grace period after this.
HAND_OVER_TIMEOUT = timedelta(milliseconds=300)
_MILLISECOND = timedelta(milliseconds=1)
_Response = TypeVar("_Response", bound=messages.Message)


class Holders:
    """The holders of each service, chosen from the live members.

    Parameters
    ----------
    instance : str
        Name of this instance.
    clock : Clock
        Source of monotonic time.
    tasks : TaskGroup
        Runs background tasks.
    log : DecisionLog
        Sink of decisions.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_holder_by_member",
        "_instance",
        "_last_held_at",
        "_log",
        "_names_by_service",
        "_tasks",
    )

    def __init__(self, instance: str, clock: Clock, tasks: TaskGroup, log: DecisionLog):
        self._log = log
        self._last_held_at: dict[str, dict[Holder, timedelta]] = {}
        self._instance = instance
        self._clock = clock
        self._tasks = tasks
        self._holder_by_member: dict[Member, Holder] = {}
        self._by_service: dict[str, list[Holder]] = {}
        self._names_by_service: dict[str, list[str]] = {}

    def assign(
        self, service: str, holder_names: list[str], members: list[Member]
    ) -> bool:
        """Set the holders of a service; return whether this instance is one.

        Parameters
        ----------
        service : str
            The service.
        holder_names : list of str
            Names of its holders, as `choose_holders` returns them.
        members : list of Member
            Live instances, the holders among them.
        """
        by_name = {member.name: member for member in members}
        self._names_by_service[service] = holder_names
        self._record_holders(service)
        self._by_service[service] = [
            self._get_or_create_holder(by_name[name])
            for name in holder_names
            if name != self._instance and by_name[name].address is not None
        ]
        return self._instance in holder_names

    def peer(self, member: Member) -> Holder:
        """Return another member, to send requests to it."""
        return self._get_or_create_holder(member)

    def holder_names(self, service: str) -> list[str]:
        """Return the names of all holders of a service; empty if unknown."""
        return self._names_by_service.get(service, [])

    def other_holders(self, service: str) -> list[Holder]:
        """Return the holders of a service other than this instance.

        Those that recently reported that they do not hold it are left out, unless
        all did.
        """
        holders = self._by_service.get(service, [])
        return [h for h in holders if not h.denies_service(service)] or holders

    async def hand_over(self, member: Member, handovers: Sequence[Handover]) -> None:
        """Send what is left of organisations' shares to their next home.

        If that fails, the shares begin there later.
        """
        name = member.name
        holder = self.peer(member)
        request = messages.HandOver(list(handovers))
        try:
            await send_request(holder, request, HAND_OVER_TIMEOUT, messages.Done)
        except CodedError as error:
            self._log.decision(
                "shares not handed over",
                holder=name,
                organisations=len(handovers),
                detail=str(error),
            )
            return
        self._log.decision(
            "shares handed over", holder=name, organisations=len(handovers)
        )

    async def verify_leader(
        self, service: str, holder: Holder, wait: timedelta
    ) -> tuple[str, LogPosition]:
        """Ask a holder to verify the leader of a service.

        The check begins after the holder has received the request.

        Returns
        -------
        str, LogPosition
            Database id of the leader and its log position.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE if the holder does not respond, or the error with which
            it refused.
        """
        request = messages.Prove(service, wait / _MILLISECOND)
        response = await send_request(holder, request, wait, messages.Proved)
        return response.database_id, LogPosition(*response.position)

    async def block_commits(
        self, block: CommitBlock, limit: timedelta
    ) -> list[InstanceAnswer]:
        """Ask the other instances to send no further commits to a service.

        Parameters
        ----------
        block : CommitBlock
            The service, and under which claim.
        limit : timedelta
            Time that commits under way are given to end.

        Returns
        -------
        list of InstanceAnswer
            Answers of the other instances that hold the service or recently did.
        """
        answers: list[InstanceAnswer] = []
        service = block.service
        request = messages.Seal(
            service,
            block.former_id,
            limit / _MILLISECOND,
            block.candidate_id,
            block.token,
        )

        async def ask(holder: Holder) -> None:
            answer = InstanceAnswer(holder.name, None, has_answered=False)
            try:
                sealed = await send_request(holder, request, limit, messages.Sealed)
                answer = InstanceAnswer(
                    holder.name,
                    messages.to_position(sealed.position),
                    known_position=messages.to_position(sealed.known_position),
                    has_in_flight=sealed.has_in_flight,
                )
            except CodedError as error:
                self._log.decision(
                    "holder not sealed",
                    service=service,
                    holder=holder.name,
                    detail=str(error),
                )
            answers.append(answer)

        async with anyio.create_task_group() as tasks:
            for holder in self._current_and_recent_holders(service):
                tasks.start_soon(ask, holder)
        return answers

    async def unblock_commits(self, service: str, token: int, limit: timedelta) -> None:
        """Let the other instances send commits again; best effort within a limit."""

        async def unblock(holder: Holder) -> None:
            try:
                await send_request(
                    holder, messages.Release(service, token), limit, messages.Done
                )
            except CodedError as error:
                # The block expires without a release.
                self._log.decision(
                    "seal not released", holder=holder.name, detail=str(error)
                )

        async with anyio.create_task_group() as tasks:
            for holder in self._current_and_recent_holders(service):
                tasks.start_soon(unblock, holder)

    def _current_and_recent_holders(self, service: str) -> list[Holder]:
        """Return the other instances that hold a service or recently did."""
        self._record_holders(service)
        return list(self._last_held_at[service])

    def _record_holders(self, service: str) -> None:
        """Record that the present holders of a service have held it until now."""
        now = self._clock.now()
        held = self._last_held_at.setdefault(service, {})
        held |= dict.fromkeys(self._by_service.get(service, []), now)
        for holder, at in list(held.items()):
            if now - at >= HOLDER_RETENTION:
                del held[holder]

    def _get_or_create_holder(self, member: Member) -> Holder:
        holder = self._holder_by_member.get(member)
        if holder is None:
            holder = Holder(
                member.name,
                member.address,
                member.availability_zone,
                self._clock,
                self._tasks,
            )
            holder.watch.on_change = partial(self._log_silence, member.name)
            self._holder_by_member[member] = holder
        return holder

    def _log_silence(self, name: str, is_silent: bool, span: timedelta) -> None:
        event = "holder silent" if is_silent else "holder answers again"
        self._log.decision(event, holder=name, silent_ms=round(span / _MILLISECOND))


async def send_request(
    holder: Holder, request: messages.Message, wait: timedelta, kind: type[_Response]
) -> _Response:
    """Send a request over a channel of its own and return the response.

    Raises
    ------
    CodedError
        PEER_UNREACHABLE if there is no response in time, PEER_MALFORMED if it is of
        another kind, or the error with which the request was refused.
    """
    channel = await holder.acquire_channel()
    try:
        response = await holder.send_request(channel, request, wait)
    finally:
        with anyio.CancelScope(shield=True):
            await holder.release_channel(channel)
    if isinstance(response, messages.Refused):
        raise messages.to_error(response)
    if not isinstance(response, kind):
        detail = f"unexpected response {type(response).__name__}"
        raise CodedError(ResultCode.PEER_MALFORMED, detail)
    return response

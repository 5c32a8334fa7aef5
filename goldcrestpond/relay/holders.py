"""Which instances hold the connections of each service (shell)."""

from datetime import timedelta
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..placement.candidate import Candidate
from ..placement.rendezvous import choose_holders
from ..serving.decision_log import DecisionLog
from ..serving.members import Member
from . import messages
from .eligible_members import eligible_members
from .holder import Holder

# Whoever held a service may have sent commits for as long as views of the members
# differ: three heartbeats of theirs, and some more.
HELD_MEMORY = timedelta(seconds=30)
_MILLISECOND = timedelta(milliseconds=1)
_Answer = TypeVar("_Answer", bound=messages.Message)


class Holders:
    """Holders by service, out of the live members.

    Parameters
    ----------
    instance : str
        Name of this instance.
    clock : Clock
        Source of readings.
    tasks : TaskGroup
        Runs what nobody waits for.
    log : DecisionLog
        Sink of decisions.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_held_at",
        "_instance",
        "_known",
        "_log",
        "_names_by_service",
        "_tasks",
    )

    def __init__(self, instance: str, clock: Clock, tasks: TaskGroup, log: DecisionLog):
        self._log = log
        self._held_at: dict[str, dict[Holder, timedelta]] = {}
        self._instance = instance
        self._clock = clock
        self._tasks = tasks
        self._known: dict[Member, Holder] = {}
        self._by_service: dict[str, list[Holder]] = {}
        self._names_by_service: dict[str, list[str]] = {}

    def assign(self, service: str, members: list[Member], count: int) -> bool:
        """Choose the holders of a service; return whether this instance is one.

        They are spread over the availability zones of the members, so that the
        outcome depends on nothing that instances learn at different times but the
        members themselves.

        Parameters
        ----------
        service : str
            The service.
        members : list of Member
            Live instances.
        count : int
            How many hold it.
        """
        eligible = eligible_members(members, count)
        zones = [member.availability_zone for member in eligible]
        by_name = {member.name: member for member in eligible}
        candidates = [Candidate(m.name, m.availability_zone) for m in eligible]
        chosen = choose_holders(service, candidates, count, zones)
        holder_names = [candidate.name for candidate in chosen]
        self._names_by_service[service] = holder_names
        self._note_held(service)
        self._by_service[service] = [
            self._holder(by_name[name])
            for name in holder_names
            if name != self._instance and by_name[name].address is not None
        ]
        return self._instance in holder_names

    def holder_names(self, service: str) -> list[str]:
        """Return the names of all holders of a service; empty if unknown."""
        return self._names_by_service.get(service, [])

    def other_holders(self, service: str) -> list[Holder]:
        """Return the holders of a service other than this instance.

        Those that denied it lately are left out, unless all did.
        """
        holders = self._by_service.get(service, [])
        return [h for h in holders if not h.denies(service)] or holders

    async def verify_leader(
        self, service: str, holder: Holder, wait: timedelta
    ) -> tuple[str, LogPosition]:
        """Ask a holder for a proof that begins after the question arrived.

        Returns
        -------
        str, LogPosition
            The leader and its position.

        Raises
        ------
        CodedError
            PEER_UNREACHABLE, or the holder's refusal.
        """
        question = messages.Prove(service, wait / _MILLISECOND)
        response = await _ask(holder, question, wait, messages.Proved)
        return response.database_id, LogPosition(*response.position)

    async def block_commits(
        self, service: str, former: str, limit: timedelta
    ) -> list[tuple[str, LogPosition | None]]:
        """Let all that may have sent commits send no more to a leader.

        Returns
        -------
        list of tuple of str and LogPosition or None
            For each other instance that holds the service or lately did, above what
            position no commit of its was acknowledged; None if it does not say.
        """
        answers: list[tuple[str, LogPosition | None]] = []
        question = messages.Seal(service, former, limit / _MILLISECOND)

        async def ask(holder: Holder) -> None:
            position = None
            try:
                sealed = await _ask(holder, question, limit, messages.Sealed)
                position = messages.to_position(sealed.position)
            except CodedError as error:
                self._log.decision(
                    "holder not sealed",
                    service=service,
                    holder=holder.name,
                    detail=str(error),
                )
            answers.append((holder.name, position))

        async with anyio.create_task_group() as tasks:
            for holder in self._lately(service):
                tasks.start_soon(ask, holder)
        return answers

    async def unblock_commits(self, service: str, limit: timedelta) -> None:
        """End the seals of a service, where that can be said in time."""

        async def tell(holder: Holder) -> None:
            try:
                await _ask(holder, messages.Release(service), limit, messages.Done)
            except CodedError as error:
                # The seal ends by itself.
                self._log.decision(
                    "seal not released", holder=holder.name, detail=str(error)
                )

        async with anyio.create_task_group() as tasks:
            for holder in self._lately(service):
                tasks.start_soon(tell, holder)

    def _lately(self, service: str) -> list[Holder]:
        """Return the other instances that hold a service or did so lately."""
        self._note_held(service)
        return list(self._held_at[service])

    def _note_held(self, service: str) -> None:
        """Remember who holds a service until now."""
        now = self._clock.now()
        held = self._held_at.setdefault(service, {})
        held |= dict.fromkeys(self._by_service.get(service, []), now)
        for holder, at in list(held.items()):
            if now - at >= HELD_MEMORY:
                del held[holder]

    def _holder(self, member: Member) -> Holder:
        holder = self._known.get(member)
        if holder is None:
            holder = Holder(
                member.name,
                member.address,
                member.availability_zone,
                self._clock,
                self._tasks,
            )
            self._known[member] = holder
        return holder


async def _ask(
    holder: Holder, question: messages.Message, wait: timedelta, kind: type[_Answer]
) -> _Answer:
    channel = await holder.take()
    try:
        response = await holder.ask(channel, question, wait)
    finally:
        with anyio.CancelScope(shield=True):
            await holder.give_back(channel)
    if isinstance(response, messages.Refused):
        raise messages.to_error(response)
    if not isinstance(response, kind):
        detail = f"unexpected {type(response).__name__}"
        raise CodedError(ResultCode.PEER_MALFORMED, detail)
    return response

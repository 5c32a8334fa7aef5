"""Which instances hold the connections of each service (shell)."""

from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..placement.candidate import Candidate
from ..placement.rendezvous import choose_holders
from ..serving.members import Member
from . import messages
from .eligible_members import eligible_members
from .holder import Holder


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
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_instance",
        "_known",
        "_names_by_service",
        "_tasks",
    )

    def __init__(self, instance: str, clock: Clock, tasks: TaskGroup):
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
        names = [candidate.name for candidate in chosen]
        self._names_by_service[service] = names
        self._by_service[service] = [
            self._holder(by_name[name])
            for name in names
            if name != self._instance and by_name[name].address is not None
        ]
        return self._instance in names

    def names(self, service: str) -> list[str]:
        """Return the names of all holders of a service; empty if unknown."""
        return self._names_by_service.get(service, [])

    def of(self, service: str) -> list[Holder]:
        """Return the holders of a service other than this instance.

        Those that denied it lately are left out, unless all did.
        """
        holders = self._by_service.get(service, [])
        return [h for h in holders if not h.denies(service)] or holders

    async def prove(
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
        channel = await holder.take()
        wait_ms = wait / timedelta(milliseconds=1)
        try:
            response = await holder.ask(channel, messages.Prove(service, wait_ms), wait)
        finally:
            with anyio.CancelScope(shield=True):
                await holder.give_back(channel)
        if isinstance(response, messages.Refused):
            raise messages.to_error(response)
        if not isinstance(response, messages.Proved):
            detail = f"unexpected {type(response).__name__}"
            raise CodedError(ResultCode.PEER_MALFORMED, detail)
        return response.database_id, LogPosition(*response.position)

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

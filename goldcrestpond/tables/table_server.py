"""Answers the instances that follow this one."""

from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..relay import messages
from ..serving.decision_log import DecisionLog
from ..serving.follower_list import FollowerList
from ..serving.members import Member
from ..serving.row_store import StoredRow
from ..serving.table_copy import TableChanges, TableCopy
from ..settings.address import parse_address

WAIT_MAX = timedelta(seconds=5)  # followers ask several times a second
_MILLISECOND = timedelta(milliseconds=1)


class TableServer:
    """Passes changes of the copied tables on to followers.

    Parameters
    ----------
    copies : sequence of TableCopy
        The copied tables.
    followers : FollowerList
        Records who follows this instance.
    get_reader : callable
        Returns the name of the instance that reads the store for this one; empty if
        there is none.
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives log events.
    """

    __slots__ = ("_changed", "_clock", "_copies", "_followers", "_get_reader", "_log")

    def __init__(
        self,
        copies: Sequence[TableCopy],
        followers: FollowerList,
        get_reader: Callable[[], str],
        clock: Clock,
        log: DecisionLog,
    ):
        self._copies = {copy.table: copy for copy in copies}
        self._followers = followers
        self._get_reader = get_reader
        self._clock = clock
        self._log = log
        self._changed = anyio.Event()
        for copy in copies:
            copy.on_change = self.notify

    def notify(self) -> None:
        """Answer the followers that wait: a table or the source has changed."""
        self._changed.set()
        self._changed = anyio.Event()

    async def answer(self, request: messages.Follow) -> messages.Followed:
        """Return the changes that a follower lacks; wait for one if there is none.

        Raises
        ------
        CodedError
            PEER_MALFORMED if an address in the request is not valid.
        """
        arrived_at = self._clock.now()
        self._record(request)
        wait = min(WAIT_MAX, max(0.0, request.wait_ms) * _MILLISECOND)
        with anyio.move_on_after(wait.total_seconds()):
            while self._get_reader() and not self._knows_more(request):
                await self._changed.wait()
        # Taken before the ages, so that a suspension in between makes the rows seem
        # older, never younger.
        held = self._clock.now() - arrived_at
        tables = [_to_message(changes) for changes in self._find_changes(request)]
        return messages.Followed(tables, self._get_reader(), held / _MILLISECOND)

    def _record(self, request: messages.Follow) -> None:
        member = to_member(request.follower)
        reported = None
        if request.followers is not None:
            reported = [to_member(peer) for peer in request.followers]
        if request.is_leaving:
            if self._followers.remove(member.name):
                self._log.decision("follower left", follower=member.name)
        else:
            self._followers.record(member, reported, self._clock.now())

    def _knows_more(self, request: messages.Follow) -> bool:
        changes = self._find_changes(request)
        return any(table.rows or table.is_whole for table in changes)

    def _find_changes(self, request: messages.Follow) -> list[TableChanges]:
        now = self._clock.now()
        found = []
        for known in request.tables:
            copy = self._copies.get(known.table)
            changes = copy and copy.changes_after(known.era, known.version, now)
            if changes is not None and changes.age is not None:
                found.append(changes)
        return found


def to_member(peer: messages.Peer) -> Member:
    """Return the member that a message describes.

    Raises
    ------
    CodedError
        PEER_MALFORMED if its address is not valid.
    """
    try:
        address = parse_address(peer.address)
    except CodedError as error:
        raise CodedError(ResultCode.PEER_MALFORMED, error.detail) from error
    return Member(
        peer.name, peer.availability_zone, address, peer.link_mbps, peer.protocol
    )


def to_peer(member: Member) -> messages.Peer:
    """Return the message part that describes a member."""
    return messages.Peer(
        member.name,
        member.availability_zone,
        str(member.address),
        member.link_mbps,
        member.protocol,
    )


def _to_message(changes: TableChanges) -> messages.ChangedTable:
    rows = [
        messages.ChangedRow(r.part, r.key, r.value, r.version) for r in changes.rows
    ]
    return messages.ChangedTable(
        changes.table,
        changes.era,
        changes.version,
        rows,
        changes.is_whole,
        changes.age / _MILLISECOND,
    )


def to_rows(changed: messages.ChangedTable) -> list[StoredRow]:
    """Return the rows that a message carries."""
    table = changed.table
    return [StoredRow(table, r.part, r.key, r.value, r.version) for r in changed.rows]

"""Which rules a fleet follows while programs of two releases run side by side."""

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.relay import messages
from goldcrestpond.serving.fleet_protocol import (
    FIRST_PROTOCOL,
    HOLDERS_BY_SERVICE,
    PROTOCOL,
    find_fleet_protocol,
)
from goldcrestpond.serving.members import (
    Member,
    Members,
    decode_member,
    encode_followers,
    encode_member,
    followers_key,
)
from goldcrestpond.serving.row_store import StoredRow
from goldcrestpond.settings.address import Address
from goldcrestpond.tables.table_server import to_member, to_peer

from .test_leadership import ms

_ADDRESS = Address("127.0.0.1", 7)
_NEW = Member("new", "z1", _ADDRESS, 10, PROTOCOL)
_FORMER = Member("former", "z1", _ADDRESS, 10)


def _row(key, value):
    return StoredRow("member", "", key, value, 1)


def test_all_members_follow_the_rules_that_each_of_them_knows():
    assert_that(find_fleet_protocol([_NEW, _NEW]), Equals(HOLDERS_BY_SERVICE))
    assert_that(find_fleet_protocol([_NEW, _FORMER]), Equals(FIRST_PROTOCOL))
    assert_that(find_fleet_protocol([]), Equals(FIRST_PROTOCOL))


# Failure: one row that nobody can read takes the whole fleet back to the first rules.
def test_member_whose_row_cannot_be_read_does_not_count():
    unreadable = decode_member(_row("broken", b"\xff{"))
    assert_that(find_fleet_protocol([_NEW, unreadable]), Equals(HOLDERS_BY_SERVICE))


# Failure: the former program cannot read a row of the present one, or the other way.
def test_rows_are_read_both_ways():
    row = msgspec.json.decode(encode_member(_NEW, 1))
    assert_that(row["protocol"], Equals(PROTOCOL))
    del row["protocol"]  # as the former program writes it
    former = decode_member(_row("former", msgspec.json.encode(row)))
    assert_that(former, Equals(_FORMER))
    # Fields that a later program adds are passed over.
    later = msgspec.json.encode({**row, "protocol": 9, "further": [1]})
    assert_that(decode_member(_row("later", later)).protocol, Equals(9))


def test_list_of_followers_tells_what_each_of_them_knows():
    members = Members()
    heartbeat = _row("reader", encode_member(_NEW, 1))
    listed = _row(followers_key("reader", 0), encode_followers([_NEW, _FORMER], 1))
    members.replace([heartbeat, listed], ms(0), 1)
    protocols = {m.name: m.protocol for m in members.live(ms(0))}
    assert_that(protocols, Equals({"reader": 1, "new": 1, "former": 0}))


def test_messages_between_instances_are_read_both_ways():
    assert_that(to_member(to_peer(_NEW)), Equals(_NEW))
    former = msgspec.msgpack.decode(
        msgspec.msgpack.encode(["former", "z1", "127.0.0.1:7", 10.0]),
        type=messages.Peer,
    )
    assert_that(to_member(former), Equals(_FORMER))
    later = msgspec.msgpack.encode(["new", "z1", "127.0.0.1:7", 10.0, 1, "further"])
    decoded = msgspec.msgpack.decode(later, type=messages.Peer)
    assert_that(to_member(decoded), Equals(_NEW))

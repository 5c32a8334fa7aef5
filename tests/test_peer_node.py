"""Peer nodes over real sockets on the loopback interface."""

import itertools
import random
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from bench.clock_holder import ClockHolder
from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.configuration_delta import ConfigurationDelta
from goldcrestpond.configuration.revision_count import count_in_force
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.peer import peer_node
from goldcrestpond.peer.peer_node import PeerNode
from goldcrestpond.peer.peer_settings import PeerSettings
from goldcrestpond.settings.address import Address

_LOOPBACK = Address("127.0.0.1", 0)
_HANG_S = 30


class _Fleet:
    """Nodes that find each other through one list of seeds."""

    def __init__(self, tasks):
        self.clock = SystemClock()
        self.lines = []
        self.nodes = {}
        self.configurations = {}
        self.scopes = {}
        self._tasks = tasks
        self._revision = 0
        self._numbers = itertools.count()

    async def start(self, key=""):
        name = f"proxy-{next(self._numbers)}"
        configuration = ClockHolder(self.clock, random.Random())
        settings = PeerSettings(name, "west", _LOOPBACK, key)
        events = EventRecorder(name, self.clock, self.lines.append)
        rng = random.Random(name)
        node = PeerNode(settings, configuration, self._seeds, self.clock, rng, events)
        self.configurations[name] = configuration
        await self._tasks.start(self._run, name, node)
        self.nodes[name] = node
        return name

    async def _run(self, name, node, *, task_status):
        with anyio.CancelScope() as self.scopes[name]:
            await node.run(task_status=task_status)

    async def _seeds(self):
        return [str(node.address) for node in self.nodes.values()]

    def stop(self, name):
        self.scopes[name].cancel()
        del self.nodes[name], self.configurations[name]

    def write(self, name, value):
        self._revision += 1
        change = ConfigurationChange("row", self._revision, value)
        configuration = self.configurations[name]
        delta = ConfigurationDelta(
            configuration.state.revision, self._revision, [change]
        )
        configuration.apply_answer(
            configuration.state.epoch, self._revision, delta, True
        )
        self.nodes[name].announce_configuration()
        return self._revision

    def member_counts(self):
        return {len(node.members) for node in self.nodes.values()}

    async def wait_for(self, condition):
        with anyio.fail_after(_HANG_S):
            while not condition():
                await anyio.sleep(0.02)


@asynccontextmanager
async def _fleet(size):
    async with anyio.create_task_group() as tasks:
        fleet = _Fleet(tasks)
        for _ in range(size):
            await fleet.start()
        await fleet.wait_for(lambda: fleet.member_counts() == {size})
        yield fleet
        tasks.cancel_scope.cancel()


def _in_force(fleet, revision):
    size = len(fleet.nodes)
    return all(
        count_in_force(node.in_force(), revision) == (size, size)
        for node in fleet.nodes.values()
    )


def test_nodes_join_distribute_configuration_and_leave():
    async def scenario():
        async with _fleet(4) as fleet:
            for value in (b"small", b"x" * 200_000):
                revision = fleet.write("proxy-1", value)
                await fleet.wait_for(lambda: _in_force(fleet, revision))  # noqa: B023
                for configuration in fleet.configurations.values():
                    assert_that(configuration.state.rows["row"].value, Equals(value))
            fleet.stop("proxy-2")
            await fleet.wait_for(lambda: fleet.member_counts() == {3})
            names = sorted(fleet.nodes["proxy-0"].live_names)
            assert_that(names, Equals(["proxy-0", "proxy-1", "proxy-3"]))
            new_name = await fleet.start()
            revision = fleet.write("proxy-0", b"later")
            await fleet.wait_for(lambda: _in_force(fleet, revision))
            assert_that(fleet.configurations[new_name].state.rows, HasLength(1))

    anyio.run(scenario)


def test_random_bytes_are_counted_as_malformed_and_ignored():
    async def scenario():
        rng = random.Random(1)
        async with (
            _fleet(2) as fleet,
            await anyio.create_udp_socket(local_host="127.0.0.1") as udp,
        ):
            node = fleet.nodes["proxy-0"]
            host, port = node.address.host, node.address.port
            for size in (0, 1, 15, 16, 17, 40, 1400):
                await udp.sendto(rng.randbytes(size), host, port)
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send((40).to_bytes(4, "big") + rng.randbytes(40))
                assert_that(stream.extra(SocketAttribute.remote_port), Equals(port))
                await fleet.wait_for(lambda: node.malformed_count >= 7)
            assert_that(node.malformed_count, GreaterThan(6))
            revision = fleet.write("proxy-1", b"value")
            await fleet.wait_for(lambda: _in_force(fleet, revision))

    anyio.run(scenario)


def test_node_with_another_key_finds_no_members():
    async def scenario():
        async with _fleet(2) as fleet:
            other_name = await fleet.start(key="another")
            node = fleet.nodes[other_name]
            await fleet.wait_for(lambda: node.malformed_count > 0)
            assert_that(node.members, HasLength(1))
            assert_that(fleet.nodes["proxy-0"].members, HasLength(2))

    anyio.run(scenario)


@pytest.mark.parametrize(("limit", "is_recorded"), [(0, False), (100, True)])
def test_large_fleet_records_only_own_detections(monkeypatch, limit, is_recorded):
    monkeypatch.setattr(peer_node, "_RECORD_ALL_MAX_MEMBERS", limit)

    async def scenario():
        async with _fleet(3) as fleet:
            has_record = any(b"member_alive" in line for line in fleet.lines)
            assert_that(has_record, Equals(is_recorded))

    anyio.run(scenario)

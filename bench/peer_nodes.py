"""Measures the processor time of peer nodes: sockets, codec, timers and decisions.

``python -m bench.peer_nodes [--sizes 10,20,40]`` prints one JSON line. All nodes
run in one process on the loopback interface; the processor time of the process is
divided by their number.
"""

import random
import resource
import statistics
import time

import anyio
import fire
import msgspec

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.revision_count import RevisionCount
from goldcrestpond.distribution.force_claim import ForceClaim
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.peer.peer_node import PeerNode
from goldcrestpond.peer.peer_settings import PeerSettings
from goldcrestpond.settings.address import Address

from .clock_holder import ClockHolder

_LOOPBACK = Address("127.0.0.1", 0)
_SEED_COUNT = 3
_JOIN_TIMEOUT_S = 60
_FLOOD_RATES_PER_S = (100, 400)
_FLOOD_INTERVAL_S = 0.02
_CLAIM = ForceClaim(1, 2, 3, 0, [RevisionCount(100, 5000), RevisionCount(99, 800)])


def measure(sizes: tuple[int, ...] = (10, 20, 40), duration_s: float = 10.0) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of nodes to run in the process.
    duration_s : float
        Duration of each measurement, which begins when all nodes know each other.
    """
    steps = [anyio.run(_measure_size, size, duration_s) for size in sizes]
    flood = anyio.run(_measure_flood, duration_s)
    costs = [step["cpu_us_per_datagram"] for step in steps]
    report = {
        "bench": "peer_nodes",
        "duration_s": duration_s,
        "steps": steps,
        "extra_us_per_datagram": flood,
        "cpu_us_per_datagram_median": round(statistics.median(costs), 1),
    }
    print(msgspec.json.encode(report).decode())


async def _measure_size(size: int, duration_s: float) -> dict:
    nodes: list[PeerNode] = []
    async with anyio.create_task_group() as tasks:
        for number in range(size):
            await tasks.start(_make_node(number, nodes).run)
        with anyio.fail_after(_JOIN_TIMEOUT_S):
            while any(
                node.member_count < size or node.pending_update_count for node in nodes
            ):
                await anyio.sleep(0.1)
        sent = sum(node.sent_count for node in nodes)
        cpu_s, started = time.process_time(), time.monotonic()
        await anyio.sleep(duration_s)
        elapsed_s = time.monotonic() - started
        cpu_s = time.process_time() - cpu_s
        sent = sum(node.sent_count for node in nodes) - sent
        tasks.cancel_scope.cancel()
    node_seconds = elapsed_s * size
    return {
        "size": size,
        "datagrams_per_s": round(sent / node_seconds, 2),
        "cpu_ms_per_s": round(cpu_s / node_seconds * 1000, 3),
        "cpu_us_per_datagram": round(cpu_s / sent * 1e6, 1),
        "process_peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
    }


async def _measure_flood(duration_s: float) -> dict:
    """Return the cost of one more datagram, sent and received, in microseconds.

    The cost is given for each rate at which one node floods another.
    """
    nodes: list[PeerNode] = []
    async with anyio.create_task_group() as tasks:
        for number in range(2):
            await tasks.start(_make_node(number, nodes).run)
        costs = {}
        for rate_per_s in (0, *_FLOOD_RATES_PER_S):
            cpu_s, started = time.process_time(), time.monotonic()
            sent = nodes[0].sent_count
            while (elapsed_s := time.monotonic() - started) < duration_s / 2:
                due = int(elapsed_s * rate_per_s) - (nodes[0].sent_count - sent)
                for _ in range(max(0, due)):
                    nodes[0]._queue_datagram(str(nodes[1].address), _CLAIM)
                await anyio.sleep(_FLOOD_INTERVAL_S)
            cpu_s = (time.process_time() - cpu_s) / elapsed_s
            costs[rate_per_s] = (cpu_s, (nodes[0].sent_count - sent) / elapsed_s)
        tasks.cancel_scope.cancel()
    idle_cpu_s, idle_rate = costs.pop(0)
    return {
        rate: round((cpu_s - idle_cpu_s) / (sent_rate - idle_rate) * 1e6, 1)
        for rate, (cpu_s, sent_rate) in costs.items()
    }


def _make_node(number: int, nodes: list[PeerNode]) -> PeerNode:
    clock = SystemClock()
    rng = random.Random(number)
    name = f"proxy-{number}"

    async def list_seeds() -> list[str]:
        return [str(node.address) for node in nodes[:_SEED_COUNT]]

    node = PeerNode(
        PeerSettings(name, "west", _LOOPBACK, "key"),
        ClockHolder(clock, rng),
        list_seeds,
        clock,
        rng,
        EventRecorder(name, clock, lambda line: None),
    )
    nodes.append(node)
    return node


if __name__ == "__main__":
    fire.Fire(measure)

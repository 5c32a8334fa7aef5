"""A promotion that was ordered is forgotten, and carried out over later commits."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3.site import PROMISES, Caller, Site, run_case  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["ledger", "stock", "slots", "audit"]
SERVICE = SERVICES[0]
WRITERS = 12
# Limits of the pages: 12 s for a late order, half of the orders of 5.5 s; 7 s for a
# crashed primary; 5.5 s for a database that is cut off.
LATE_S = 11.5
LATE_WINDOW_S = 5.5
CRASH_S = 5.5
CUT_AFTER_S = 1.5
CUT_S = 5.5


async def write(site, service, names, number, counts, answered):
    """Write one item again and again; note what was acknowledged to this caller."""
    caller = Caller(site, service, lambda: names[number % len(names)])
    value = 0
    while True:
        try:
            if caller.writer is None:
                await caller.connect()
            value += 1
            request, lines = await caller.ask(f"WRITE w{number} v{value}")
            word = lines[0].split(" ")[0]
            if word == "COMPLETE":
                answered[request] = (time.time(), f"w{number} v{value}")
                counts["acknowledged"] += 1
            else:
                code = lines[0].split(" ")[1]
                kind = "promised not kept" if code in PROMISES else "other errors"
                counts[kind] += 1
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.03)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            counts["connections lost"] += 1
            caller.close()
            await asyncio.sleep(0.1)


async def disturb(site):
    """Crash the primary; leave orders for its service unanswered for a while."""
    group = site.groups[SERVICE]
    primary = group.primary
    loop = asyncio.get_running_loop()
    late_until = time.monotonic() + LATE_WINDOW_S
    is_cut_due = asyncio.Event()

    def choose_delay(service, database_id):
        if service != SERVICE or time.monotonic() > late_until:
            return None
        loop.call_later(CUT_AFTER_S, is_cut_due.set)
        return LATE_S

    site.platform.late_order_s = choose_delay
    site.record(f"{SERVICE}: {primary.database_id} crashes at {primary.position}")
    group.crash(primary.database_id)
    crashed_at = time.monotonic()
    async with asyncio.timeout(6):
        await is_cut_due.wait()
    named = [o for o in site.platform.orders if o["service"] == SERVICE][-1]["database"]
    candidate = group.databases[named]
    site.record(f"{SERVICE}: {named} is cut off from the instances")
    candidate.is_reachable.clear()
    cut_at = time.monotonic()
    await asyncio.sleep(max(0, crashed_at + CRASH_S - time.monotonic()))
    await group.restart(primary.database_id, f"{primary.database_id}b")
    site.record(f"{SERVICE}: {primary.database_id}b is back with its log")
    await asyncio.sleep(max(0, cut_at + CUT_S - time.monotonic()))
    candidate.is_reachable.set()
    site.record(f"{SERVICE}: {named} is reachable again, at {candidate.position}")


async def release(site, service, number):
    """Replace the primary of a service: the new database first, then the drain."""
    group = site.groups[service]
    database = group.add(f"{service}-{number}")
    await database.start()
    await asyncio.sleep(1.5)
    leaving = group.primary
    leaving.state = "draining"
    site.record(f"{service}: {leaving.database_id} is draining")
    await asyncio.sleep(9)
    group.remove(leaving.database_id)


async def play(site):
    """Play the run; return the counts and what was acknowledged to callers."""
    for service, group in site.groups.items():
        for number in (1, 2, 3):
            role = "primary" if number == 1 else "replica"
            group.add(f"{service}-{number}", role, f"z{number}")
    await site.start()
    await asyncio.gather(*(site.add_instance(f"i{n}", f"z{n}") for n in (1, 2, 3)))
    await site.add_instance("i4", "z1")
    counts = dict.fromkeys(
        ("acknowledged", "promised not kept", "other errors", "connections lost"), 0
    )
    answered = {}
    names = ["i1", "i2", "i3", "i4"]
    tasks = [
        asyncio.create_task(write(site, service, names, n, each, answered))
        for service, count, each in (
            (SERVICE, WRITERS, counts),
            *((other, 4, dict(counts)) for other in SERVICES[1:]),
        )
        for n in range(count)
    ]
    await asyncio.sleep(3)
    await site.add_instance("i5", "z1")
    names[:] = ["i1", "i2", "i3", "i5"]
    site.record("i4 gets SIGTERM: i5 takes its place")
    site.instances["i4"].send(signal.SIGTERM)
    await asyncio.sleep(8)
    tasks += [
        asyncio.create_task(release(site, service, 4)) for service in SERVICES[1:]
    ]
    await asyncio.sleep(3)
    if IS_TROUBLED:
        tasks.append(asyncio.create_task(disturb(site)))
    await asyncio.sleep(20)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return counts, answered


async def main():
    """Play the case; return the exit status."""
    site = Site(SERVICES)
    head = [f"TROUBLE={int(IS_TROUBLED)}"]
    status = 2
    try:
        counts, answered = await play(site)
        group = site.groups[SERVICE]
        lost = {}
        for promotion in group.promotions:
            lost |= {r: answered[r] for r in promotion["lost"] if r in answered}
        head.append(f"answers to callers: {counts}")
        head.append(f"acknowledged to callers, not in the promoted log: {len(lost)}")
        head += [
            f"  {at - site.began_at:.3f} {request} WRITE {text}"
            for request, (at, text) in sorted(lost.items(), key=lambda i: i[1])[:5]
        ]
        runs = {}
        for _, request, _ in group.runs:
            runs[request] = runs.get(request, 0) + 1
        head.append(
            f"statements run: {len(runs)}, more than once: "
            f"{sum(n > 1 for n in runs.values())}"
        )
        unanswered = sum(
            o["status"] == 0 or o["service"] == SERVICE for o in site.platform.orders
        )
        head.append(f"orders: {len(site.platform.orders)}, of {SERVICE}: {unanswered}")
        was_in_order = counts["acknowledged"] > 500
        if IS_TROUBLED:
            was_in_order &= bool(group.promotions)
        status = (1 if lost else 0) if was_in_order else 2
    finally:
        await site.stop()
        head.append(f"status {status}")
        site.write_record(HERE / "record.txt", head, [SERVICE])
    return status


if __name__ == "__main__":
    sys.exit(run_case(main))

"""A planned stop while transactions run: requests on which databases work are cut."""

import asyncio
import random
import signal
import time
import uuid

from standins_2.databases import Run, Service
from standins_2.session import Ended, Session, wait_ready
from standins_2.store import Store

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
TIMEOUT_S = 3.0  # of the route, and less than any consumer's deadline
SESSIONS = 28
STATEMENTS = 12
PAUSE_S = 0.2
WORK_S = (0.1, 0.3)
WARM_UP_S = 4.0


class Request:
    """A request of a consumer and its end."""

    def __init__(self, request_id: str, text: str):
        self.request_id = request_id
        self.text = text
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.outcome = ""


async def consume(number: int, port: int, requests: list[Request]) -> None:
    """Run one transaction after the other until the session ends."""
    session = Session(port)
    await asyncio.sleep(random.uniform(0, 2))
    await session.open("reports")

    async def send(text: str) -> str:
        request = Request(uuid.uuid4().hex[:16], text)
        requests.append(request)
        try:
            answer = await session.query(request.request_id, text)
            request.outcome = answer.error or f"success {answer.receipt}"
            return answer.error
        except Ended:
            request.outcome = "connection ended"
            raise
        finally:
            request.ended_at = time.monotonic()

    try:
        while True:
            error = await send("BEGIN READ")
            for _ in range(STATEMENTS):
                if error:
                    break
                error = await send(f"READ item{random.randrange(2000)}")
                await asyncio.sleep(PAUSE_S)
            await send("ROLLBACK" if error else "COMMIT")
            await asyncio.sleep(PAUSE_S)
    except Ended:
        session.close()


async def run(case) -> int:
    """Run the case."""
    store = Store()
    await store.start()
    zones = ["zone-a", "zone-b", "zone-c"]
    service = Service("fuel-log", store, zones)
    service.work_s = lambda: random.uniform(*WORK_S)
    store.promote = lambda name, database_id: service.promote(database_id)
    await service.start()
    columns = ["name", "database", "prefix", "routeType", "timeoutMs"]
    columns += ["targetLatencyMs", "priority", "serviceName", "attempts"]
    columns += ["maxStalenessMs"]
    kind = "bounded_staleness"
    route = ["r-reports", "reports", "/", kind, 3000, 800, 2, "fuel-log", 2, 1500]
    services = {"columns": ["name", "maxConns", "syncReplicas"]}
    configuration = {
        "configVersion": 7,
        "routes": {"columns": columns, "rows": [route]},
        "services": services | {"rows": [["fuel-log", 34, 1]]},
        "limits": {"txnIdleMs": 5000},
    }
    store.put("op", "config", configuration)
    instances = [case.add_instance(f"front-{zone}", zone, store.port) for zone in zones]
    for instance in instances:
        if not await wait_ready(instance.ready):
            return 2
    stopped = instances[0]
    requests: list[Request] = []
    consumers = [
        asyncio.create_task(consume(number, stopped.front, requests))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(WARM_UP_S)
    stopped_at = time.monotonic()
    if case.has_trouble:
        case.note("SIGTERM is sent to front-zone-a")
        stopped.send(signal.SIGTERM)
    while stopped.is_running and time.monotonic() - stopped_at < GRACE_S + 0.5:
        await asyncio.sleep(0.01)
    after_s = time.monotonic() - stopped_at
    case.note(f"{after_s:.2f} s later, it runs: {stopped.is_running}")
    await asyncio.sleep(0.5)
    for consumer in consumers:
        consumer.cancel()
    await asyncio.gather(*consumers, return_exceptions=True)
    return judge(case, requests, service.runs, stopped_at)


def judge(case, requests: list[Request], runs: list[Run], stopped_at: float) -> int:
    """Apply the rule LOST to the requests of the process that was stopped."""
    by_id = {run.request_id: run for run in runs}
    broken = 0
    for request in requests:
        sent_s = request.sent_at - stopped_at
        ended_s = request.ended_at - stopped_at
        run = by_id.get(request.request_id)
        line = (
            f"{request.request_id} {request.text}: sent {sent_s:+.3f} s, "
            f"ended {ended_s:+.3f} s, {request.outcome}"
        )
        if run is not None:
            line += f"; reached {run.database_id} {run.began_at - stopped_at:+.3f} s"
        is_cut = request.outcome == "connection ended"
        is_passed_on = run is not None
        is_late = ended_s - sent_s > LOSS_SLACK_S
        is_excused = (
            ended_s > GRACE_S + 1.0
            or ended_s - sent_s >= TIMEOUT_S
            or (run is not None and run.ended_at - stopped_at >= 5.0 and sent_s <= 3.0)
        )
        if is_cut and (is_passed_on or is_late) and not is_excused:
            broken += 1
            line += " <- LOST"
        case.note(line)
    case.note(f"{len(requests)} requests, LOST {broken}")
    return 1 if broken else 0

"""Long report queries in the ``report`` lane, beside the normal load."""

import random
from collections.abc import Sequence

import anyio
import psycopg

from ..root.local_site import LocalSite
from ..settings.address import Address
from . import fuel_log
from .load_run import LoadRun
from .reported_outcome import parse_result_number
from .roaming_connection import RoamingConnection

_AUDITOR_COUNT = 2
_STATEMENTS_PER_AUDITOR = 4  # all auditors together exceed the slots of a database
_REPORT_S = 0.5


def make_reports(duration_s: float):
    """Return a script that measures write latency first without, then with reports."""

    async def report(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
        addresses = [proxy.address for proxy in site.proxies]
        await anyio.sleep(duration_s * 0.1)
        run.start_phase()
        await anyio.sleep(duration_s * 0.4)
        run.end_phase("quiet")
        run.details["reports"] = 0
        async with anyio.create_task_group() as tasks:
            for index in range(_AUDITOR_COUNT * _STATEMENTS_PER_AUDITOR):
                session_rng = random.Random(rng.random())
                tasks.start_soon(
                    _run_reports, addresses, index % 2 == 0, run, session_rng
                )
            await anyio.sleep(duration_s * 0.1)
            run.start_phase()
            await anyio.sleep(duration_s * 0.35)
            run.end_phase("reports")
            quiet_ms = run.details["quiet_p99_ms"]
            ratio = run.details["reports_p99_ms"] / quiet_ms if quiet_ms else 0.0
            run.details["p99_ratio"] = ratio
            tasks.cancel_scope.cancel()

    return report


async def _run_reports(
    addresses: Sequence[Address],
    is_declared_read_only: bool,
    run: LoadRun,
    rng: random.Random,
) -> None:
    parameters = {"goldcrestpond.lane": "report"}
    if is_declared_read_only:
        parameters["default_transaction_read_only"] = "on"
    roaming = RoamingConnection(addresses, "fuel", rng, parameters)
    while not run.is_over:
        try:
            connection = await roaming.get_open_connection()
            await connection.execute(fuel_log.REPORT, (_REPORT_S,))
            run.details["reports"] += 1
        except psycopg.Error as error:
            run.record_refusal(parse_result_number(error))
            await roaming.close()
            await anyio.sleep(_REPORT_S / 10)
    await roaming.close()
